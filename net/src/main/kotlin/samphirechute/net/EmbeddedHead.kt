package samphirechute.net

import io.netty.buffer.ByteBuf

/**
 * Looks for the head of another response in the body of one. A server that breaks a body off, or ends it with the
 * connection, may write a copy of an earlier response behind it, whose bytes then count as the rest of that body. Only a
 * head with an identifier that [idIn] finds is one: a body may quote a status line.
 */
internal class EmbeddedHead(
    private val idIn: (ResponseHead) -> String?,
) {
    /** The end of the body so far, from where a head may have begun. */
    private var pending = ""

    /** Returns whether [piece] completes a head in the body; does not consume it. */
    fun isCompletedBy(piece: ByteBuf): Boolean {
        if (pending.isEmpty() && piece.indexOf(piece.readerIndex(), piece.writerIndex(), FIRST_BYTE) < 0) return false
        val text = pending + piece.toString(Charsets.ISO_8859_1)
        return isFoundIn(text)
    }

    /** Returns whether a head begins in the body that ends here and has its identifier there or in the bytes [behind]. */
    fun isLeftOpen(behind: ByteBuf): Boolean {
        if (pending.isEmpty()) return false
        val length = minOf(behind.readableBytes(), MAX_HEAD_CHARS)
        val text = pending + behind.toString(behind.readerIndex(), length, Charsets.ISO_8859_1)
        return startsIn(text).takeWhile { it < pending.length }.any { hasIdentifier(text.substring(it)) }
    }

    /** Looks for a whole head in [text] and keeps the beginning of one that may yet become whole. */
    private fun isFoundIn(text: String): Boolean {
        pending = ""
        for (start in startsIn(text)) {
            val end = text.indexOf(HEAD_END, start)
            val length = (if (end < 0) text.length else end) - start
            if (length > MAX_HEAD_CHARS) continue
            if (end < 0) {
                pending = text.substring(start)
                return false
            }
            if (hasIdentifier(text.substring(start, end))) return true
        }
        return false
    }

    private fun hasIdentifier(text: String) = UnaskedAnswer.headOf(text)?.let(idIn) != null

    private fun startsIn(text: String) =
        generateSequence(startIn(text, 0)) { startIn(text, it + 1) }.takeWhile { it >= 0 }

    /** Returns where the next version begins in [text], or the beginning of one at its end; negative if nowhere. */
    private fun startIn(
        text: String,
        from: Int,
    ): Int {
        val whole = text.indexOf(VERSION, from)
        if (whole >= 0) return whole
        val length = (VERSION.length - 1 downTo 1).firstOrNull { text.endsWith(VERSION.take(it)) } ?: return -1
        return (text.length - length).takeIf { it >= from } ?: -1
    }

    private companion object {
        const val VERSION = "HTTP/"
        const val FIRST_BYTE = 'H'.code.toByte()
        const val HEAD_END = "\r\n\r\n"

        /** Heads of upstreams are shorter. */
        const val MAX_HEAD_CHARS = 2_048
    }
}
