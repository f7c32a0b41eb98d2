package samphirechute.net

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.util.AsciiString

/** Decodes the responses on a client connection, which carries one call at a time. */
internal class ClientDecoder(
    maxHeadBytes: Int,
    maxChunkBytes: Int,
) : HttpResponseDecoder(maxHeadBytes, maxHeadBytes, maxChunkBytes) {
    /** Whether the current call is a HEAD request, whose response has no body although it states a length. */
    var isHeadCall = false

    /** While a message is handled, the bytes that were received behind it. */
    val undecoded: ByteBuf get() = internalBuffer()

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = isHeadCall || super.isContentAlwaysEmpty(message)

    /** Refuses a status line without a status of three digits. The library takes any number, so `000` would be status 0. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val status = initialLine.getOrNull(1).orEmpty()
        require(STATUS.matches(status)) { "no valid status in the status line: '${status.take(MAX_STATUS_CHARS)}'" }
        return super.createMessage(initialLine)
    }

    /**
     * Refuses a field whose name is followed by anything but spaces and a colon. The library takes the first word of such
     * a line for a name and drops the others, which may be the status line of the next response.
     */
    override fun splitHeaderName(
        line: ByteArray,
        start: Int,
        length: Int,
    ): AsciiString {
        val next = (start + length until line.size).firstOrNull { line[it].toInt().toChar() !in SPACES }
        require(next != null && line[next].toInt().toChar() == ':') { "no colon behind the name of a field" }
        return super.splitHeaderName(line, start, length)
    }

    private companion object {
        const val SPACES = " \t"
        val STATUS = Regex("[1-5]\\d{2}")

        /** What a malformed response says may be of any length. */
        const val MAX_STATUS_CHARS = 20
    }
}
