package samphirechute.net

import com.github.michaelbull.result.get
import org.junit.jupiter.api.Nested
import samphirechute.core.HostPort
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ConnectionCloseSpec {
    @Nested
    inner class ClosingIdleConnections {
        /** Guards against a request that arrives on a keep-alive connection just before the process ends. */
        @Test
        fun `idle connections are closed at once and busy ones after their response`() {
            val pending = CompletableFuture<Exchange>()
            LoopbackFixture(handler = { pending.complete(it) }).use { fixture ->
                val idle = Socket(fixture.address.host, fixture.address.port)
                val busy = Socket(fixture.address.host, fixture.address.port)
                listOf(idle, busy).forEach { it.soTimeout = LoopbackFixture.DEADLINE_MS.toInt() }
                busy.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
                val exchange = pending.get(LoopbackFixture.DEADLINE_MS, TimeUnit.MILLISECONDS)
                fixture.loop.post {
                    fixture.server.closesAfterResponse = true
                    fixture.server.closeIdle()
                }
                assertEquals(-1, idle.getInputStream().read())
                fixture.loop.post { exchange.respond(200, "text/plain", "whole".toByteArray()) }
                val text = String(busy.getInputStream().readAllBytes())
                assertTrue(text.contains("connection: close", ignoreCase = true) && text.endsWith("whole"), text)
            }
        }
    }

    @Nested
    inner class ClosingDuringAStream {
        /** Guards against another request on a connection whose response head, sent before the stop, kept it open. */
        @Test
        fun `the connection of a stream that started before the stop is closed after the stream`() {
            val begun = CompletableFuture<ResponseStream>()
            LoopbackFixture(handler = { begun.complete(it.startStream(200, "text/plain")) }).use { fixture ->
                val client = Socket(fixture.address.host, fixture.address.port)
                client.soTimeout = LoopbackFixture.DEADLINE_MS.toInt()
                client.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
                val stream = begun.get(LoopbackFixture.DEADLINE_MS, TimeUnit.MILLISECONDS)
                fixture.loop.post {
                    fixture.server.closesAfterResponse = true
                    fixture.server.closeIdle()
                    stream.write("part".toByteArray())
                    stream.finish()
                }
                val text = String(client.getInputStream().readAllBytes())
                assertTrue(text.contains("part") && text.endsWith("0\r\n\r\n"), text)
            }
        }
    }

    @Nested
    inner class EarlyResponses {
        /** Guards against a next request that the peer reads as the rest of a body that it still expects. */
        @Test
        fun `a connection is not reused when the response arrives before the whole request is written`() {
            val connections = CompletableFuture<Int>()
            ServerSocket(0, 8, InetAddress.getByName("127.0.0.1")).use { listener ->
                thread(isDaemon = true) { runCatching { respondEarly(listener, connections) } }
                LoopbackFixture(handler = { }).use { fixture ->
                    val address = HostPort("127.0.0.1", listener.localPort)
                    repeat(2) {
                        val request = ClientRequest(address, "POST", "/", ByteArray(BODY_BYTES))
                        assertEquals(400, fixture.call(request).get()?.status)
                    }
                    assertEquals(2, connections.get(LoopbackFixture.DEADLINE_MS, TimeUnit.MILLISECONDS))
                }
            }
        }

        /** Responds once on each of two connections without reading the request body. */
        private fun respondEarly(
            listener: ServerSocket,
            connections: CompletableFuture<Int>,
        ) {
            val sockets = mutableListOf<Socket>()
            while (sockets.size < 2) {
                val socket = listener.accept().also { sockets += it }
                socket.getInputStream().readNBytes(1)
                socket.getOutputStream().write("HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n".toByteArray())
            }
            connections.complete(sockets.size)
        }
    }

    private companion object {
        /** More than the buffers of a loopback connection hold. */
        const val BODY_BYTES = 32 * 1024 * 1024
    }
}
