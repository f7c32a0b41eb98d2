package samphirechute.net

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.LastHttpContent

/**
 * Writes a body in slices, as the channel takes them. A body written in one piece would be copied whole into direct
 * memory, of which a daemon has 8 MB.
 */
internal class BodyWriter(
    private val channel: Channel,
    private val body: ByteArray,
    private val onWritten: () -> Unit = {},
) {
    private var writtenBytes = 0
    var isDone = false
        private set

    /** Writes what the channel takes; to be called again each time it becomes writable. */
    fun resume() {
        while (!isDone && channel.isWritable) {
            val length = minOf(SLICE_BYTES, body.size - writtenBytes)
            if (length == 0) return finish()
            channel.write(DefaultHttpContent(Unpooled.wrappedBuffer(body, writtenBytes, length)))
            writtenBytes += length
            // The flush may make the channel writable again at once, without a further event.
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
