package samphirechute.net

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

/** What comes of a call when an answer to another request is written in the place of its own, or joined with it. */
class CopyRowsSpec {
    private fun assertOutcome(
        expected: String,
        wire: String,
        laterWire: String = "",
        method: String = "GET",
        closes: Boolean = false,
    ) = assertEquals(expected, CopyScript(wire, laterWire, closes).call(method).toString(), wire)

    /** Guards against a body that is looked for, or not looked for, by the method of another request. */
    @Nested
    inner class Methods {
        @Test
        fun `the copy of the answer to a HEAD before that to a GET fails the call`() =
            assertOutcome("TimedOut", "HTTP/1.1 200 OK\r\nId: copy\r\nContent-Length: 900\r\n\r\n$OWN")

        @Test
        fun `a short length in the copy of the answer to a HEAD fails the call`() =
            assertOutcome("Malformed", "HTTP/1.1 200 OK\r\nId: copy\r\nContent-Length: 9\r\n\r\n$OWN")

        @Test
        fun `the copy of the answer to a GET before that to a HEAD fails the call`() =
            assertOutcome("Malformed", COPY + OWN_HEAD, method = "HEAD")

        @Test
        fun `chunks in the copy of the answer to a GET before that to a HEAD fail the call`() =
            assertOutcome("Malformed", "$CHUNKED_COPY_HEAD\r\n4\r\nbody\r\n0\r\n\r\n$OWN_HEAD", method = "HEAD")
    }

    /** Guards against statuses without a body that take their body from the next answer, or leave theirs to it. */
    @Nested
    inner class StatusesWithoutBody {
        @Test
        fun `copies of 204 and 304 are skipped`() =
            listOf(204, 304).forEach {
                assertOutcome("500 own", "HTTP/1.1 $it\r\nId: copy\r\nContent-Length: 7\r\n\r\n$OWN")
            }

        @Test
        fun `a copy before a 204 is skipped`() = assertOutcome("204 ", COPY + "HTTP/1.1 204 No\r\nId: own\r\n\r\n")
    }

    /** Guards against a copy whose end is missing, so that the next head is read as a part of it. */
    @Nested
    inner class Chunks {
        @Test
        fun `a copy without the end of its last chunk fails the call`() =
            assertOutcome("Malformed", "$CHUNKED_COPY_HEAD\r\n4\r\nbody\r\n0\r\n$OWN")

        @Test
        fun `a head that is read as trailers fails the call`() =
            assertOutcome(
                "Malformed",
                "$CHUNKED_COPY_HEAD\r\n0\r\nHTTP/1.1 500 Failed\r\nId: own\r\nContent-Length: 0\r\n\r\n",
            )

        @Test
        fun `a copy that ends within a chunk fails the call`() =
            assertOutcome("Malformed", "$CHUNKED_COPY_HEAD\r\n9\r\nbo$OWN")

        @Test
        fun `an answer whose last chunk is not ended fails the call`() =
            assertOutcome(
                "Malformed",
                "HTTP/1.1 500 F\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n$COPY",
            )
    }

    @Nested
    inner class InterimHeads {
        @Test
        fun `before and behind a copy are skipped`() = assertOutcome("500 own", INTERIM + COPY + INTERIM + OWN)

        @Test
        fun `that are broken off fail the call`() =
            assertOutcome("Malformed", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n$OWN")

        @Test
        fun `do not hide a copy that is broken off before them`() =
            assertOutcome("Malformed", "HTTP/1.1 200 OK\r\nServer: x\r\n$INTERIM$OWN")
    }

    /** Guards against the identifier of one answer in the head of another. */
    @Nested
    inner class Identifiers {
        @Test
        fun `the first of two decides, so that a copy with both is skipped`() =
            assertOutcome("500 own", "HTTP/1.1 200 OK\r\nId: copy\r\nID: own\r\nContent-Length: 0\r\n\r\n$OWN")

        @Test
        fun `an own one in another case is found`() =
            assertOutcome("500 own", "HTTP/1.1 500 F\r\niD: own\r\ncontent-length: 3\r\n\r\nown")

        @Test
        fun `a folded field joins no status line`() = assertOutcome("Malformed", "HTTP/1.1 200 OK\r\nId: copy\r\n $OWN")
    }

    private companion object {
        const val OWN_HEAD = "HTTP/1.1 500 Failed\r\nId: own\r\nContent-Length: 3\r\n\r\n"
        const val OWN = OWN_HEAD + "own"
        const val COPY = "HTTP/1.1 200 OK\r\nId: copy\r\nContent-Length: 4\r\n\r\nbody"
        const val CHUNKED_COPY_HEAD = "HTTP/1.1 200 OK\r\nId: copy\r\nTransfer-Encoding: chunked\r\n"
        const val INTERIM = "HTTP/1.1 100 Continue\r\n\r\n"
    }
}
