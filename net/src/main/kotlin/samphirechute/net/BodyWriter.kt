package samphirechute.net

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.LastHttpContent

/**
 * Writes a request or response body in slices while the channel is writable. A body written in one piece would be
 * copied whole into direct memory, of which a daemon has only 8 MB.
 */
internal class BodyWriter(
    private val channel: Channel,
    private val body: ByteArray,
    private val onWritten: () -> Unit = {},
) {
    private var writtenBytes = 0
    var isDone = false
        private set

    /** Writes slices until the channel is no longer writable; must be called again each time it becomes writable. */
    fun resume() {
        while (!isDone && channel.isWritable) {
            val length = minOf(SLICE_BYTES, body.size - writtenBytes)
            if (length == 0) return finish()
            channel.write(DefaultHttpContent(Unpooled.wrappedBuffer(body, writtenBytes, length)))
            writtenBytes += length
            // The flush may make the channel writable again at once, in which case no writability event follows.
            if (!channel.isWritable) channel.flush()
        }
    }

    private fun finish() {
        isDone = true
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        onWritten()
    }

    private companion object {
        const val SLICE_BYTES = 32 * 1024
    }
}
