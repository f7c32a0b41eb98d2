package samphirechute.net

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

/** Answers that are broken off in their body and go on with the bytes of a copy. */
class CompletedBodySpec {
    private fun assertMalformed(
        wire: String,
        laterWire: String = "",
        closes: Boolean = true,
    ) = assertEquals("Malformed", CopyScript(wire, laterWire, closes).call().toString(), wire)

    /** Guards against a success with the bytes of a copy at the end of its body. */
    @Nested
    inner class BrokenOff {
        @Test
        fun `a body with a length is not completed by a copy`() =
            assertMalformed("${HEAD}Content-Length: 90\r\n\r\nown$COPY")

        @Test
        fun `a body with a length is not completed by a late copy`() =
            assertMalformed("${HEAD}Content-Length: 90\r\n\r\nown", laterWire = COPY)

        /** The head of the copy begins in the body and ends behind it. */
        @Test
        fun `a body with a length is not completed by the beginning of a copy`() =
            assertMalformed("${HEAD}Content-Length: 13\r\n\r\nown$COPY")

        @Test
        fun `a body is not completed by a copy in small pieces`() =
            assertMalformed("${HEAD}Content-Length: 90\r\n\r\nownHT", laterWire = COPY.drop(2))

        @Test
        fun `a chunk is not completed by a copy`() =
            assertMalformed("${HEAD}Transfer-Encoding: chunked\r\n\r\n5a\r\nown$COPY\r\n0\r\n\r\n")
    }

    @Nested
    inner class EndedByTheConnection {
        @Test
        fun `a body does not take in a copy`() = assertMalformed("${HEAD}Connection: close\r\n\r\nown$COPY")

        @Test
        fun `a body does not take in a late copy`() =
            assertMalformed("${HEAD}Connection: close\r\n\r\nown", laterWire = COPY)

        @Test
        fun `a body does not take in a copy that is broken off in its head`() =
            assertMalformed("${HEAD}Connection: close\r\n\r\nown", laterWire = COPY.substringBefore("Content"))

        /** The decoder accepts these forms, so an upstream may write its copies so. */
        @Test
        fun `a body does not take in a copy with an unusual head`() =
            listOf(
                "http/1.1 500 Failed\r\nId: copy\r\n\r\n",
                "HTTP/1.1  500 Failed\r\nId : copy\r\n\r\n",
                "HTTP/1.1\t500\nId: copy\n\n",
                "HTTP/1.1 500 \u0085\r\nId: copy\r\nX: ${"x".repeat(3_000)}\r\n\r\n",
            ).forEach { assertMalformed("${HEAD}Connection: close\r\n\r\nown$it") }

        @Test
        fun `an event stream does not take in a late copy`() =
            assertMalformed("${HEAD}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", laterWire = COPY)
    }

    /** Guards against whole answers that are refused for what they say or for what stands behind them. */
    @Nested
    inner class Whole {
        private fun assertReceived(
            body: String,
            behind: String = "",
        ) = assertEquals(
            "200 $body",
            CopyScript("${HEAD}Content-Length: ${body.length}\r\n\r\n$body$behind").call().toString(),
        )

        @Test
        fun `a body may quote a head without an identifier`() =
            assertReceived("HTTP/1.1 404 Not Found\r\nServer: x\r\n\r\nHTTP/1.1 200 OK")

        @Test
        fun `a body may hold many versions and status lines`() =
            listOf("GET / HTTP/1.1 200\r\n", "HTTP/1.1 404 Not Found\r\n", "HTTP/").forEach {
                assertReceived(it.repeat(BODY_CHARS / it.length))
            }

        @Test
        fun `a field may name a version and an address`() =
            assertEquals(
                "200 own",
                CopyScript("${HEAD}Via: HTTP/1.1 192.168.4.7:80\r\nContent-Length: 3\r\n\r\nown").call().toString(),
            )

        @Test
        fun `a copy may stand behind a body`() = listOf("own", "H", "HTTP").forEach { assertReceived(it, COPY) }
    }

    private companion object {
        const val HEAD = "HTTP/1.1 200 OK\r\nId: own\r\n"
        const val BODY_CHARS = 1_000_000

        /** Longer than what is missing in the bodies of these tests. */
        val COPY = "HTTP/1.1 500 Failed\r\nId: copy\r\nContent-Length: 60\r\n\r\n" + "c".repeat(60)
    }
}
