package samphirechute.net

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Where a request and its answer end, for heads that are unusual but allowed. */
class RequestFramingSpec {
    private val limits = ServerLimits(readTimeoutMs = 500, keepAliveMs = 500)

    private fun echo(exchange: Exchange) {
        val request = exchange.request
        val body = "${request.method} ${request.path}:${request.body.decodeToString()};".encodeToByteArray()
        if (request.path.startsWith("/relay")) {
            exchange.startRelay(200, emptyList(), null).apply { write(body) }.finish()
        } else {
            exchange.respond(200, "text/plain", body)
        }
    }

    /** Returns what the handler got and what the caller got, without the heads of the answers. */
    private fun exchange(sent: String): Pair<List<String>, String> {
        val seen = mutableListOf<String>()
        val handler = { exchange: Exchange ->
            seen += "${exchange.request.method} ${exchange.request.path}:${exchange.request.body.decodeToString()}"
            echo(exchange)
        }
        return LoopbackFixture(limits, handler).use { fixture ->
            val answers = fixture.sendRaw(sent.encodeToByteArray())
            assertEquals(0, fixture.server.bufferedBytes)
            seen to answers
        }
    }

    private fun bodies(answers: String) = answers.split("HTTP/1.1 ").drop(1).map { it.substringAfter("\r\n\r\n") }

    @Nested
    inner class Answers {
        /** Guards against an answer to HEAD with a body, and one without a body to the request before or behind it. */
        @Test
        fun `to many requests sent ahead have a body unless the method is HEAD`() {
            val methods = List(MANY) { if (it % 3 == 1) "HEAD" else "GET" }
            val sent = methods.mapIndexed { index, method -> "$method /$index HTTP/1.1\r\n\r\n" }.joinToString("")
            val expected = methods.mapIndexed { index, method -> if (method == "HEAD") "" else "$method /$index:;" }
            assertEquals(expected, bodies(exchange(sent).second))
        }

        /** Guards against a "100 Continue" that is counted as the answer, with which HEAD and its neighbours are confused. */
        @Test
        fun `to requests that expect 100 Continue are those of their own method`() {
            val expecting = "POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nhi"
            val sent = "${expecting}HEAD /b HTTP/1.1\r\nExpect: 100-continue\r\n\r\nGET /c HTTP/1.1\r\n\r\n$expecting"
            val answers = bodies(exchange(sent).second)
            assertEquals(listOf("POST /a:hi;", "GET /c:;", "POST /a:hi;"), answers.filter { it.isNotEmpty() })
        }

        /** Guards against chunks that reach a caller of HTTP/1.0, and against an end that it cannot see. */
        @Test
        fun `to HTTP 1_0 have no chunks and end with the connection`() {
            val (_, answer) = exchange("GET /relay HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
            assertEquals(listOf("GET /relay:;"), bodies(answer))
            assertTrue("chunked" !in answer)
        }
    }

    @Nested
    inner class Requests {
        /** Guards against the rest of one request that is taken for the next one. */
        @Test
        fun `with an unusual framing are handled with their own body or refused`() {
            val inner = "GET /inner HTTP/1.1\r\n\r\n"
            val chunk = "${inner.length.toString(HEX)}\r\n$inner\r\n0\r\n\r\n"
            val rows =
                listOf(
                    "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n$chunk",
                    "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n$chunk",
                    "transfer-encoding: CHUNKED\r\n\r\n$chunk",
                    "Transfer-Encoding: chunked\r\n\r\n${chunk.replaceFirst("\r\n", ";name=value\r\n")}",
                    "Transfer-Encoding: chunked\r\n\r\n${chunk.removeSuffix("\r\n")}Trailer-Field: x\r\n\r\n",
                    "Content-Length: ${inner.length}\r\nContent-Length: ${inner.length}\r\n\r\n$inner",
                    "Transfer-Encoding: gzip, chunked\r\n\r\n$chunk",
                    "Transfer-Encoding: identity\r\nContent-Length: ${inner.length}\r\n\r\n$inner",
                    "Transfer-Encoding: xchunked\r\n\r\n$inner",
                    "Transfer-Encoding : chunked\r\n\r\n$chunk",
                    "Content-Length: +${inner.length}\r\n\r\n$inner",
                )
            val faults =
                rows.mapNotNull { row ->
                    val (seen, answers) = exchange("POST /outer HTTP/1.1\r\n$row")
                    val isWhole = seen == listOf("POST /outer:$inner")
                    val isRefused = seen.isEmpty() && answers.startsWith("HTTP/1.1 4")
                    if (isWhole || isRefused) null else "${row.substringBefore("\r\n\r\n")} -> $seen"
                }
            assertEquals(emptyList(), faults)
        }
    }

    private companion object {
        /** More than the codec keeps the methods of in one word. */
        const val MANY = 100
        const val HEX = 16
    }
}
