package samphirechute.net

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Nested
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class HttpServerSpec {
    private val limits =
        ServerLimits(maxHeadBytes = 1_024, maxBodyBytes = 10_000, readTimeoutMs = 300, keepAliveMs = 300)

    private fun echo(exchange: Exchange) = exchange.respond(200, "text/plain", exchange.request.body)

    @Nested
    inner class BadInput {
        /** Guards against input that hangs, crashes the connection without a word, or reaches the handler. */
        @Test
        fun `each malformed request gets its error and no handler call`() {
            val rows =
                listOf(
                    "GARBAGE\r\n\r\n" to "400",
                    "GET / HTTP/1.1\r\nX: ${"a".repeat(2_000)}\r\n\r\n" to "431",
                    "GET /${"a".repeat(2_000)} HTTP/1.1\r\n\r\n" to "431",
                    "POST / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n" to "413",
                    "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n" to "400",
                    "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello" to "400",
                    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" to "400",
                    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4e20\r\n${"a".repeat(20_000)}\r\n0\r\n\r\n" to
                        "413",
                    "POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nslow" to "408",
                )
            var handled = 0
            LoopbackFixture(limits, { handled++ }).use { fixture ->
                for ((sent, status) in rows) {
                    val answer = fixture.raw(sent.encodeToByteArray())
                    assertContains(answer, "HTTP/1.1 $status", message = "for ${sent.take(60)}")
                    assertContains(answer, "\"run_state\":\"not_run\"")
                }
                assertEquals(0, handled)
                assertEquals(0, fixture.server.bufferedBytes)
            }
        }

        /** Guards against bodies that exhaust memory when many arrive at once. */
        @Test
        fun `a body beyond the budget of the process is refused at once`() {
            val held = mutableListOf<Exchange>()
            LoopbackFixture(ServerLimits(maxBufferedBytes = 10), { held += it }).use { fixture ->
                val first = CompletableFuture<Int>()
                val request = ClientRequest(fixture.address, "POST", "/", ByteArray(8))
                fixture.loop.post { fixture.client.call(request, 5_000) { first.complete(it.get()?.status) } }
                val second = generateSequence { fixture.call(request).get()?.status }.take(100).first { it == 503 }
                assertEquals(503, second)
                fixture.loop.post { held.forEach { it.respond(200, "text/plain", ByteArray(0)) } }
                assertEquals(200, first.get(5, TimeUnit.SECONDS))
            }
        }
    }

    @Nested
    inner class Connections {
        /** Guards against pipelined requests that are lost or answered out of order. */
        @Test
        fun `pipelined requests are answered in order`() {
            LoopbackFixture(limits, ::echo).use { fixture ->
                val one = "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n"
                val answer = fixture.raw("${one}abc${one}def${one}ghi".encodeToByteArray())
                assertEquals(
                    listOf("abc", "def", "ghi"),
                    Regex("\r\n\r\n(...)").findAll(answer).map { it.groupValues[1] }.toList(),
                )
            }
        }

        /** Guards against a stream that grows in memory without bound while its reader is slow. */
        @Test
        fun `a slow reader makes the stream unwritable, and reading resumes it`() {
            val total = 4_000_000
            LoopbackFixture(ServerLimits(), { exchange -> pump(exchange, total) }).use { fixture ->
                val answer = fixture.call(ClientRequest(fixture.address, "GET", "/"))
                assertEquals(total, answer.get()?.body?.size)
            }
        }

        private fun pump(
            exchange: Exchange,
            totalBytes: Int,
        ) {
            val stream = exchange.startStream(200, "text/plain")
            var sentBytes = 0
            val piece = ByteArray(10_000)

            fun fill() {
                while (stream.isWritable && sentBytes < totalBytes) {
                    stream.write(piece)
                    sentBytes += piece.size
                }
                if (sentBytes == totalBytes) stream.finish()
            }
            stream.onWritable = ::fill
            fill()
        }

        /** Guards against a large body that stalls when the connection takes more while it is first written. */
        @Test
        fun `large bodies arrive whole in both directions`() {
            LoopbackFixture(ServerLimits(), ::echo).use { fixture ->
                for (size in listOf(0, 1, 32 * 1024, 64 * 1024, 400_000, 4_000_000)) {
                    val body = ByteArray(size) { it.toByte() }
                    val answer = fixture.call(ClientRequest(fixture.address, "POST", "/", body)).get()
                    assertContentEquals(body, answer?.body, "$size bytes")
                }
            }
        }

        /** Guards against an answer that is cut but looks complete to its reader. */
        @Test
        fun `an aborted stream is a failure at the client`() {
            LoopbackFixture(
                ServerLimits(),
                { it.startStream(200, "text/plain").apply { write(ByteArray(5)) }.abort() },
            ).use {
                assertIs<ClientFailure.Closed>(it.call(ClientRequest(it.address, "GET", "/")).getError())
            }
        }

        /** Guards against work that goes on for a caller that has hung up. */
        @Test
        fun `the handler learns that the client has gone`() {
            val gone = CompletableFuture<Boolean>()
            LoopbackFixture(ServerLimits(), { it.onAborted = { gone.complete(true) } }).use { fixture ->
                val request = ClientRequest(fixture.address, "GET", "/")
                fixture.loop.post { fixture.client.call(request, timeoutMs = 50) { } }
                assertTrue(gone.get(5, TimeUnit.SECONDS))
            }
        }

        /** Guards against a call to a closed port that is taken for one whose bytes may have been read. */
        @Test
        fun `a refused connection is told apart from a broken one`() {
            LoopbackFixture(ServerLimits(), ::echo).use { fixture ->
                fixture.server.close()
                val failure =
                    fixture
                        .call(
                            ClientRequest(fixture.address, "GET", "/", useFreshConnection = true),
                        ).getError()
                assertIs<ClientFailure.ConnectFailed>(failure)
            }
        }
    }

    @Nested
    inner class AQueueThatIsFull {
        /** Guards a server that is held up against calls that it takes long after their callers have given up. */
        @Test
        fun `establishes no more connections`() {
            val hasStopped = CountDownLatch(1)
            val mayGoOn = CountDownLatch(1)
            LoopbackFixture(ServerLimits(backlog = BACKLOG), ::echo).use { fixture ->
                fixture.loop.post {
                    hasStopped.countDown()
                    mayGoOn.await(LIMIT_S, TimeUnit.SECONDS)
                }
                assertTrue(hasStopped.await(LIMIT_S, TimeUnit.SECONDS))
                val sockets = List(2 * BACKLOG) { Socket() }
                val established =
                    sockets.count { socket ->
                        val target = InetSocketAddress(fixture.address.host, fixture.address.port)
                        runCatching { socket.connect(target, CONNECT_MS) }.isSuccess
                    }
                assertTrue(established <= BACKLOG + 1, "$established were established")
                val isEmptied = CompletableFuture<Unit>()
                fixture.loop.timer.every(POLL_MS) {
                    if (fixture.server.acceptedConnections >= established) isEmptied.complete(Unit)
                }
                mayGoOn.countDown()
                isEmptied.get(LIMIT_S, TimeUnit.SECONDS)
                sockets.forEach { it.close() }
                assertEquals(200, fixture.call(ClientRequest(fixture.address, "GET", "/")).get()?.status)
            }
        }
    }

    private companion object {
        const val BACKLOG = 8
        const val CONNECT_MS = 50
        const val POLL_MS = 5L
        const val LIMIT_S = 20L
    }
}
