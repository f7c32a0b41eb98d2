package samphirechute.daemon.upstream

import io.netty.buffer.ByteBuf
import java.io.ByteArrayOutputStream

/** Cuts a stream of bytes into lines of at most [maxLineBytes]. */
internal class LineSplitter(
    private val maxLineBytes: Int,
) {
    private val rest = ByteArrayOutputStream()

    /** Calls [onLine] for each line that is complete; false when a line is too long. */
    fun feed(
        piece: ByteBuf,
        onLine: (String) -> Unit,
    ): Boolean {
        while (piece.isReadable) {
            val lengthBytes = piece.bytesBefore(NEWLINE)
            if (lengthBytes < 0) break
            if (rest.size() + lengthBytes > maxLineBytes) return false
            onLine(take(piece, lengthBytes))
            piece.skipBytes(1)
        }
        if (rest.size() + piece.readableBytes() > maxLineBytes) return false
        piece.readBytes(rest, piece.readableBytes())
        return true
    }

    private fun take(
        piece: ByteBuf,
        lengthBytes: Int,
    ): String {
        if (rest.size() == 0) return piece.readCharSequence(lengthBytes, Charsets.UTF_8).toString()
        piece.readBytes(rest, lengthBytes)
        return rest.toString(Charsets.UTF_8).also { rest.reset() }
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
    }
}
