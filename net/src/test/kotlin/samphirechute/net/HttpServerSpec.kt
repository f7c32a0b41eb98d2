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
        /** Guards against bad input that hangs, closes the connection without a response, or reaches the handler. */
        @Test
        fun `each malformed request gets its error status and does not reach the handler`() {
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
                    val response = fixture.sendRaw(sent.encodeToByteArray())
                    assertContains(response, "HTTP/1.1 $status", message = "for ${sent.take(60)}")
                    assertContains(response, "\"run_state\":\"not_run\"")
                }
                assertEquals(0, handled)
                assertEquals(0, fixture.server.bufferedBytes)
            }
        }

        /** Guards against a request that ends its connection without an answer and keeps its body reserved for good. */
        @Test
        fun `a path or query that cannot be decoded reaches the handler as it was sent`() {
            val paths = mutableListOf<String>()
            val handler = { exchange: Exchange ->
                paths += exchange.request.path
                exchange.respond(
                    200,
                    "text/plain",
                    exchange.request
                        .query("q")
                        .orEmpty()
                        .encodeToByteArray(),
                )
            }
            LoopbackFixture(ServerLimits(maxBufferedBytes = 10), handler).use { fixture ->
                for (uri in listOf("/desk/100%", "/desk/100%2", "/desk/%zz?q=1", "/desk?q=%")) {
                    val request = ClientRequest(fixture.address, "POST", uri, ByteArray(8))
                    assertEquals(200, fixture.call(request).get()?.status, uri)
                }
                assertEquals(listOf("/desk/100%", "/desk/100%2", "/desk/%zz", "/desk"), paths)
                assertEquals(0, fixture.server.bufferedBytes)
            }
        }

        /** Guards against many bodies that arrive at once and exhaust the memory. */
        @Test
        fun `a body that exceeds the body budget is refused at once`() {
            val pending = mutableListOf<Exchange>()
            LoopbackFixture(ServerLimits(maxBufferedBytes = 10), { pending += it }).use { fixture ->
                val first = CompletableFuture<Int>()
                val request = ClientRequest(fixture.address, "POST", "/", ByteArray(8))
                fixture.loop.post { fixture.client.call(request, 5_000) { first.complete(it.get()?.status) } }
                val second = generateSequence { fixture.call(request).get()?.status }.take(100).first { it == 503 }
                assertEquals(503, second)
                fixture.loop.post { pending.forEach { it.respond(200, "text/plain", ByteArray(0)) } }
                assertEquals(200, first.get(5, TimeUnit.SECONDS))
            }
        }
    }

    @Nested
    inner class Connections {
        /** Guards against pipelined requests that are lost or get their responses out of order. */
        @Test
        fun `pipelined requests are answered in order`() {
            LoopbackFixture(limits, ::echo).use { fixture ->
                val one = "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n"
                val response = fixture.sendRaw("${one}abc${one}def${one}ghi".encodeToByteArray())
                assertEquals(
                    listOf("abc", "def", "ghi"),
                    Regex("\r\n\r\n(...)").findAll(response).map { it.groupValues[1] }.toList(),
                )
            }
        }

        /** Guards against a stream that grows in memory without bound while its reader is slow. */
        @Test
        fun `a stream waits while its reader is slow and continues when the reader catches up`() {
            val total = 4_000_000
            LoopbackFixture(ServerLimits(), { exchange -> writeStream(exchange, total) }).use { fixture ->
                val response = fixture.call(ClientRequest(fixture.address, "GET", "/"))
                assertEquals(total, response.get()?.body?.size)
            }
        }

        private fun writeStream(
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

        /** Guards against a large body that stalls when the channel becomes writable again during the first write. */
        @Test
        fun `large bodies arrive complete in both directions`() {
            LoopbackFixture(ServerLimits(), ::echo).use { fixture ->
                for (size in listOf(0, 1, 32 * 1024, 64 * 1024, 400_000, 4_000_000)) {
                    val body = ByteArray(size) { it.toByte() }
                    val response = fixture.call(ClientRequest(fixture.address, "POST", "/", body)).get()
                    assertContentEquals(body, response?.body, "$size bytes")
                }
            }
        }

        /** Guards against a truncated response that looks complete to its reader. */
        @Test
        fun `the client reports a failure when the server aborts a stream`() {
            LoopbackFixture(
                ServerLimits(),
                { it.startStream(200, "text/plain").apply { write(ByteArray(5)) }.abort() },
            ).use {
                assertIs<ClientFailure.Closed>(it.call(ClientRequest(it.address, "GET", "/")).getError())
            }
        }

        /** Guards against work that continues for a caller that has disconnected. */
        @Test
        fun `the handler is notified when the client disconnects`() {
            val disconnected = CompletableFuture<Boolean>()
            LoopbackFixture(ServerLimits(), { it.onAborted = { disconnected.complete(true) } }).use { fixture ->
                val request = ClientRequest(fixture.address, "GET", "/")
                fixture.loop.post { fixture.client.call(request, timeoutMs = 50) { } }
                assertTrue(disconnected.get(5, TimeUnit.SECONDS))
            }
        }

        /** Guards against treating a call to a closed port as one whose request may have been received. */
        @Test
        fun `a refused connection is reported as a failure to connect`() {
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
    inner class FullAcceptQueue {
        /** Guards against a blocked server that later accepts connections whose callers have long given up. */
        @Test
        fun `no further connections are established when the accept queue is full`() {
            val loopIsBlocked = CountDownLatch(1)
            val loopMayResume = CountDownLatch(1)
            LoopbackFixture(ServerLimits(backlog = BACKLOG), ::echo).use { fixture ->
                fixture.loop.post {
                    loopIsBlocked.countDown()
                    loopMayResume.await(TIMEOUT_S, TimeUnit.SECONDS)
                }
                assertTrue(loopIsBlocked.await(TIMEOUT_S, TimeUnit.SECONDS))
                val sockets = List(2 * BACKLOG) { Socket() }
                val established =
                    sockets.count { socket ->
                        val target = InetSocketAddress(fixture.address.host, fixture.address.port)
                        runCatching { socket.connect(target, CONNECT_MS) }.isSuccess
                    }
                assertTrue(established <= BACKLOG + 1, "$established were established")
                val queueIsEmpty = CompletableFuture<Unit>()
                fixture.loop.timer.every(POLL_MS) {
                    if (fixture.server.acceptedConnections >= established) queueIsEmpty.complete(Unit)
                }
                loopMayResume.countDown()
                queueIsEmpty.get(TIMEOUT_S, TimeUnit.SECONDS)
                sockets.forEach { it.close() }
                assertEquals(200, fixture.call(ClientRequest(fixture.address, "GET", "/")).get()?.status)
            }
        }
    }

    private companion object {
        const val BACKLOG = 8
        const val CONNECT_MS = 50
        const val POLL_MS = 5L
        const val TIMEOUT_S = 20L
    }
}
