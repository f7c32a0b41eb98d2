package samphirechute.net

import org.junit.jupiter.api.Nested
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals

/** Responses that are the last ones on their connection by the server's choice. */
class ClosingResponseSpec {
    @Nested
    inner class Responses {
        /** Guards against a close that becomes a reset, since the next request lies unread, and takes the response with it. */
        @Test
        fun `arrive whole at a slow reader that has sent its next request already`() {
            val handled = AtomicInteger()
            val answered = CompletableFuture<Unit>()
            val handler = { exchange: Exchange ->
                handled.incrementAndGet()
                exchange.respond(200, "text/plain", ByteArray(RESPONSE_BYTES))
                answered.complete(Unit)
                Unit
            }
            LoopbackFixture(ServerLimits(), handler).use { fixture ->
                fixture.server.closesAfterResponse = true
                Socket().use { socket ->
                    socket.soTimeout = LoopbackFixture.DEADLINE_MS.toInt()
                    // A small window keeps most of the response with the server until the client reads.
                    socket.receiveBufferSize = WINDOW_BYTES
                    socket.connect(InetSocketAddress(fixture.address.host, fixture.address.port))
                    val next = "POST / HTTP/1.1\r\nContent-Length: $NEXT_BYTES\r\n\r\n".encodeToByteArray()
                    val bytes = "GET / HTTP/1.1\r\n\r\n".encodeToByteArray() + next + ByteArray(NEXT_BYTES)
                    socket.getOutputStream().apply { write(bytes) }.flush()
                    answered.get(LoopbackFixture.DEADLINE_MS, TimeUnit.MILLISECONDS)
                    CountDownLatch(1).await(READER_PAUSE_MS, TimeUnit.MILLISECONDS)
                    val head = readHead(socket)
                    assertEquals("HTTP/1.1 200 OK", head.lines().first())
                    assertEquals(RESPONSE_BYTES, socket.getInputStream().readNBytes(RESPONSE_BYTES).size)
                }
            }
            assertEquals(1, handled.get())
        }

        private fun readHead(socket: Socket): String {
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) head.append(socket.getInputStream().read().toChar())
            return "$head"
        }
    }

    private companion object {
        const val RESPONSE_BYTES = 100_000
        const val NEXT_BYTES = 100_000
        const val WINDOW_BYTES = 4_096
        const val READER_PAUSE_MS = 200L
    }
}
