package samphirechute.serving.relay

import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against events that are split or merged at the boundaries of the pieces in which a stream arrives. */
class EventSplitterSpec {
    private val stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: still here\n\nid: 3\ndata: c\n\n"

    private fun split(pieceBytes: Int): Pair<List<StreamEvent>, EventSplitter> {
        val splitter = EventSplitter()
        val events = ArrayList<StreamEvent>()
        stream.chunked(pieceBytes).forEach { piece ->
            splitter.add(Unpooled.wrappedBuffer(piece.encodeToByteArray())) { events += it }
        }
        return events to splitter
    }

    @Test
    fun `pieces of any size give the same events`() {
        for (pieceBytes in 1..stream.length) {
            val (events, splitter) = split(pieceBytes)
            assertEquals(listOf(1L, 2L, null, 3L), events.map { it.id }, "pieces of $pieceBytes")
            assertEquals(stream, events.joinToString("") { it.bytes.decodeToString() })
            assertTrue(splitter.isAtBoundary)
        }
    }

    @Test
    fun `an incomplete event is not passed on`() {
        val splitter = EventSplitter()
        splitter.add(Unpooled.wrappedBuffer("id: 1\ndata: a\n".encodeToByteArray())) { error("no event is complete") }
        assertFalse(splitter.isAtBoundary)
    }

    @Test
    fun `comments are distinguished from events`() =
        assertEquals(listOf(false, false, true, false), split(7).first.map { it.isComment })
}
