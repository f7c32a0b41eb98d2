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

class RelayingSpec {
    @Nested
    inner class Leaving {
        /** Guards against a request on a kept connection that comes when the process is about to end. */
        @Test
        fun `idle connections are closed, and those with a request after their answer`() {
            val held = CompletableFuture<Exchange>()
            LoopbackFixture(handler = { held.complete(it) }).use { fixture ->
                val idle = Socket(fixture.address.host, fixture.address.port)
                val busy = Socket(fixture.address.host, fixture.address.port)
                listOf(idle, busy).forEach { it.soTimeout = LoopbackFixture.DEADLINE_MS.toInt() }
                busy.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
                val exchange = held.get(LoopbackFixture.DEADLINE_MS, TimeUnit.MILLISECONDS)
                fixture.loop.post {
                    fixture.server.isLeaving = true
                    fixture.server.closeIdle()
                }
                assertEquals(-1, idle.getInputStream().read())
                fixture.loop.post { exchange.respond(200, "text/plain", "whole".toByteArray()) }
                val answer = String(busy.getInputStream().readAllBytes())
                assertTrue(answer.contains("connection: close", ignoreCase = true) && answer.endsWith("whole"), answer)
            }
        }
    }

    @Nested
    inner class LeavingDuringAStream {
        /** Guards against a next request on a connection whose client was told, before the stop, that it stays open. */
        @Test
        fun `the connection is closed after the stream, which began before`() {
            val begun = CompletableFuture<ResponseStream>()
            LoopbackFixture(handler = { begun.complete(it.startStream(200, "text/plain")) }).use { fixture ->
                val client = Socket(fixture.address.host, fixture.address.port)
                client.soTimeout = LoopbackFixture.DEADLINE_MS.toInt()
                client.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
                val stream = begun.get(LoopbackFixture.DEADLINE_MS, TimeUnit.MILLISECONDS)
                fixture.loop.post {
                    fixture.server.isLeaving = true
                    fixture.server.closeIdle()
                    stream.write("part".toByteArray())
                    stream.finish()
                }
                val answer = String(client.getInputStream().readAllBytes())
                assertTrue(answer.contains("part") && answer.endsWith("0\r\n\r\n"), answer)
            }
        }
    }

    @Nested
    inner class EarlyAnswers {
        /** Guards against a next request whose bytes the peer takes for the rest of the body that it still expects. */
        @Test
        fun `a connection is not used again when the answer came before the request was written`() {
            val connections = CompletableFuture<Int>()
            ServerSocket(0, 8, InetAddress.getByName("127.0.0.1")).use { listener ->
                thread(isDaemon = true) { runCatching { answerEarly(listener, connections) } }
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

        /** Answers each connection once without reading its body. */
        private fun answerEarly(
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
        /** More than the buffers of a loopback connection take. */
        const val BODY_BYTES = 32 * 1024 * 1024
    }
}
