package samphirechute.net

import com.github.michaelbull.result.fold
import org.junit.jupiter.api.Nested
import samphirechute.core.HostPort
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Bodies in each framing with each end, over sockets, against the table in `docs/design/body-ends.md`. Guards against a part of a
 * body that is taken for the whole, on either side.
 */
class BodyEndsSpec {
    private enum class Framing(
        val field: String,
    ) {
        LENGTH("Content-Length: 10\r\n"),
        CHUNKS("Transfer-Encoding: chunked\r\n"),
        NONE(""),
        ;

        fun whole() = if (this == CHUNKS) "a\r\n0123456789\r\n0\r\n\r\n" else "0123456789"

        fun part() = if (this == CHUNKS) "a\r\n0123" else "0123"
    }

    private enum class End(
        val action: (Socket) -> Unit,
    ) {
        CLOSE({ it.close() }),
        RESET({
            it.setSoLinger(true, 0)
            it.close()
        }),
        HALF_CLOSE({ it.shutdownOutput() }),
        SILENCE({ }),
    }

    private fun send(
        socket: Socket,
        head: String,
        body: String,
        end: End,
    ) {
        socket.getOutputStream().write((head + body).toByteArray())
        end.action(socket)
    }

    /** A short time limit where nothing is to come, and otherwise one that holds on a loaded machine. */
    private fun timeoutMs(
        framing: Framing,
        body: String,
        end: End,
    ): Long {
        val isComplete = framing != Framing.NONE && body == framing.whole()
        return if (end == End.SILENCE && !isComplete) QUIET_MS else DEADLINE_MS
    }

    /** Returns what a client is told of a response whose body is [body] and ends with [end]. */
    private fun response(
        framing: Framing,
        body: String,
        end: End,
    ): String =
        ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { listener ->
            thread(isDaemon = true) {
                val socket = listener.accept()
                // Unread bytes would turn a close into a reset.
                val lines = socket.getInputStream().bufferedReader().lineSequence()
                check(lines.any { it.isEmpty() })
                send(socket, "HTTP/1.1 200 OK\r\n${framing.field}\r\n", body, end)
            }
            LoopbackFixture { }.use { fixture ->
                val result = CompletableFuture<String>()
                val request = ClientRequest(HostPort("127.0.0.1", listener.localPort), "GET", "/")
                fixture.loop.post {
                    fixture.client.call(request, timeoutMs(framing, body, end)) { outcome ->
                        result.complete(outcome.fold({ it.body.decodeToString() }) { it.javaClass.simpleName })
                    }
                }
                result.get(DEADLINE_MS, TimeUnit.MILLISECONDS)
            }
        }

    /** Returns the body that the handler of a server got, or null if it got no request. */
    private fun request(
        framing: Framing,
        body: String,
        end: End,
    ): String? {
        val handled = CompletableFuture<String>()
        return LoopbackFixture { handled.complete(it.request.body.decodeToString()) }.use { fixture ->
            Socket(fixture.address.host, fixture.address.port).use { socket ->
                send(socket, "POST / HTTP/1.1\r\nHost: h\r\n${framing.field}\r\n", body, end)
                try {
                    handled.get(if (body == framing.whole()) DEADLINE_MS else QUIET_MS, TimeUnit.MILLISECONDS)
                } catch (_: TimeoutException) {
                    null
                }
            }
        }
    }

    @Nested
    inner class Responses {
        @Test
        fun `with a length or chunks are complete whatever follows them, and failed if they end before`() {
            for (framing in listOf(Framing.LENGTH, Framing.CHUNKS)) {
                for (end in End.entries) {
                    assertEquals("0123456789", response(framing, framing.whole(), end), "$framing, whole, $end")
                    val failure = if (end == End.SILENCE) "TimedOut" else "Closed"
                    assertEquals(failure, response(framing, framing.part(), end), "$framing, part, $end")
                }
            }
        }

        @Test
        fun `without either are complete only when the sender closes`() {
            val told =
                mapOf(
                    End.CLOSE to "0123",
                    End.HALF_CLOSE to "0123",
                    End.RESET to "Closed",
                    End.SILENCE to "TimedOut",
                )
            for ((end, expected) in told) assertEquals(expected, response(Framing.NONE, "0123", end), "$end")
        }
    }

    @Nested
    inner class Requests {
        @Test
        fun `reach the handler whole or not at all`() {
            for (framing in listOf(Framing.LENGTH, Framing.CHUNKS)) {
                for (end in End.entries) {
                    assertEquals("0123456789", request(framing, framing.whole(), end), "$framing, whole, $end")
                    assertEquals(null, request(framing, framing.part(), end), "$framing, part, $end")
                }
            }
        }
    }

    private companion object {
        /** How long the tests wait to see that nothing comes. */
        const val QUIET_MS = 300L
        const val DEADLINE_MS = 10_000L
    }
}
