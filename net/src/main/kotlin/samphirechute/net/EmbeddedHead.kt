package samphirechute.net

import io.netty.buffer.ByteBuf

/**
 * Looks for the head of another response in the body of one. A server that breaks a body off, or ends it with the
 * connection, may write a copy of an earlier response behind it, whose bytes then count as the rest of that body. Only a
 * head with an identifier that [idIn] finds is one: a body may quote a status line. Each byte is searched once, but for
 * the [MAX_HEAD_CHARS] that may belong to a head whose rest is still to come.
 */
internal class EmbeddedHead(
    private val idIn: (ResponseHead) -> String?,
) {
    /** The end of the body so far, from where a head may have begun. */
    private var pending = ""

    /** Returns whether [piece] completes a head in the body; does not consume it. */
    fun isCompletedBy(piece: ByteBuf): Boolean {
        if (pending.isEmpty() && !mayContainVersion(piece)) return false
        val text = pending + piece.toString(Charsets.ISO_8859_1)
        pending = ""
        for (head in StatusLine.positionsIn(text).zipWithNextOrEnd(text.length)) {
            if (hasIdentifier(text, head)) return true
        }
        pending = openHeadIn(text)
        return false
    }

    /** Returns whether a head begins in the body that ends here and has its identifier there or in the bytes [behind]. */
    fun isLeftOpen(behind: ByteBuf): Boolean {
        if (pending.isEmpty()) return false
        val length = minOf(behind.readableBytes(), MAX_HEAD_CHARS)
        val text = pending + behind.toString(behind.readerIndex(), length, Charsets.ISO_8859_1)
        val heads = StatusLine.positionsIn(text).zipWithNextOrEnd(text.length)
        return heads.any { it.first < pending.length && hasIdentifier(text, it) }
    }

    /** A version has its digits behind a slash, and a piece may begin or end within one. */
    private fun mayContainVersion(piece: ByteBuf): Boolean {
        val last = piece.writerIndex() - 1
        if (last < piece.readerIndex()) return false
        return piece.indexOf(piece.readerIndex(), piece.writerIndex(), '/'.code.toByte()) >= 0 ||
            piece.getByte(last).toInt().toChar() in StatusLine.VERSION_LETTERS
    }

    private fun hasIdentifier(
        text: String,
        head: IntRange,
    ) = UnaskedAnswer
        .headOf(text.substring(head.first, minOf(head.last, head.first + MAX_HEAD_CHARS)))
        ?.let(idIn) != null

    /** Returns the end of [text] from the last status line on, or from the last beginning of one, that may yet go on. */
    private fun openHeadIn(text: String): String {
        val from = maxOf(0, text.length - MAX_HEAD_CHARS)
        val recent = text.substring(from)
        val start = StatusLine.positionsIn(recent).lastOrNull { !isEnded(recent, it) } ?: StatusLine.cutIn(recent)
        return if (start == null) "" else recent.substring(start)
    }

    private fun isEnded(
        text: String,
        start: Int,
    ) = text.indexOf("\r\n\r\n", start) >= 0 || text.indexOf("\n\n", start) >= 0

    /** The ranges from each position to the next one, the last of which ends at [end]. */
    private fun List<Int>.zipWithNextOrEnd(end: Int) =
        mapIndexed { index, start -> start..(getOrNull(index + 1) ?: end) }

    private companion object {
        /** An identifier that stands further behind its status line is not found. */
        const val MAX_HEAD_CHARS = 2_048
    }
}
