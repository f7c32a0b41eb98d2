package samphirechute.serving.relay

import io.netty.buffer.ByteBuf
import java.io.ByteArrayOutputStream

/**
 * Splits the bytes of an event stream into complete events. An incomplete event is kept until the rest of it arrives.
 */
internal class EventSplitter {
    private val pending = ByteArrayOutputStream()
    private var newlines = 0

    /** Adds received bytes and calls [onEvent] for each event that they complete. */
    fun add(
        piece: ByteBuf,
        onEvent: (StreamEvent) -> Unit,
    ) {
        while (piece.isReadable) {
            val end = endOfEvent(piece)
            piece.readBytes(pending, (if (end < 0) piece.writerIndex() else end) - piece.readerIndex())
            if (end < 0) return
            val bytes = pending.toByteArray()
            pending.reset()
            onEvent(StreamEvent(bytes, idOf(bytes)))
        }
    }

    /** Returns the index after the blank line that ends the event, or -1 if it has not arrived yet. */
    private fun endOfEvent(piece: ByteBuf): Int {
        for (index in piece.readerIndex() until piece.writerIndex()) {
            val byte = piece.getByte(index).toInt()
            if (byte == CARRIAGE_RETURN) continue
            newlines = if (byte == NEWLINE) newlines + 1 else 0
            if (newlines < BLANK_LINE) continue
            newlines = 0
            return index + 1
        }
        return -1
    }

    /** True if no part of a next event has arrived. */
    val isAtBoundary: Boolean get() = pending.size() == 0

    /** The size of the incomplete event. */
    val pendingBytes: Int get() = pending.size()

    private fun idOf(bytes: ByteArray): Long? =
        bytes
            .decodeToString()
            .lineSequence()
            .firstOrNull { it.startsWith(ID_FIELD) }
            ?.removePrefix(ID_FIELD)
            ?.trim()
            ?.toLongOrNull()

    private companion object {
        const val NEWLINE = 10
        const val CARRIAGE_RETURN = 13
        const val BLANK_LINE = 2
        const val ID_FIELD = "id:"
    }
}

/** A complete event with its original [bytes], and its numeric [id] if it has one. */
internal class StreamEvent(
    val bytes: ByteArray,
    val id: Long?,
) {
    /** True if the event consists only of blank lines and of comments, which begin with a colon. */
    val isComment: Boolean
        get() = id == null && bytes.decodeToString().lineSequence().all { it.isBlank() || it.startsWith(':') }
}
