package samphirechute.net

import io.netty.buffer.ByteBuf

/**
 * The beginning of an answer among bytes that arrived while no call waited, for log lines. It shows whether an upstream
 * answered a request twice, and with which status the second time.
 */
internal object UnaskedAnswer {
    /** Bytes beyond this are not looked at. */
    private const val MAX_HEAD_BYTES = 2_048

    /** Returns the head that [bytes] begin with, as far as it has arrived, or null if they begin otherwise. */
    fun headOf(bytes: ByteBuf): ResponseHead? {
        val length = minOf(bytes.readableBytes(), MAX_HEAD_BYTES)
        return headOf(bytes.toString(bytes.readerIndex(), length, Charsets.ISO_8859_1))
    }

    /** Returns the head that [text] begins with, or null if it begins otherwise. */
    fun headOf(text: String): ResponseHead? {
        val lines = text.split('\n').map { it.removeSuffix("\r") }
        val status = StatusLine.statusOf(lines.first()) ?: return null
        val fields =
            lines.drop(1).takeWhile { it.isNotEmpty() }.mapNotNull { line ->
                val name = line.substringBefore(':', missingDelimiterValue = "").trim()
                HeaderField(name, line.substringAfter(':').trim()).takeIf { name.isNotEmpty() }
            }
        return ResponseHead(status, fields)
    }
}
