package samphirechute.net

import org.junit.jupiter.api.Test
import java.net.Socket
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class HeadMemorySpec {
    private fun echo(exchange: Exchange) = exchange.respond(200, "text/plain", exchange.request.body)

    private fun head(lines: Int) = "GET / HTTP/1.1\r\n" + "a:\r\n".repeat(lines)

    private val end = "Connection: close\r\n\r\n"

    /** Guards against a limit that one client with a head of legal size reaches alone. */
    @Test
    fun `the largest head is served when there is no overload`() =
        LoopbackFixture(ServerLimits(maxHeadMemoryBytes = ServerLimits.MIN_HEAD_MEMORY_BYTES), ::echo).use { fixture ->
            val lines = (MAX_HEAD_BYTES - "GET / HTTP/1.1\r\n$end".length) / "a:\r\n".length
            assertContains(fixture.sendRaw((head(lines) + end).toByteArray()), "HTTP/1.1 200")
            assertEquals(0, fixture.server.memoryRefusals)
        }

    /** Guards against unfinished heads that keep out ordinary requests, and against their refusal without a word. */
    @Test
    fun `an unfinished head gets 503 when an ordinary request needs its memory`() =
        LoopbackFixture(ServerLimits(maxHeadMemoryBytes = 100_000), ::echo).use { fixture ->
            Socket(fixture.address.host, fixture.address.port).use { large ->
                large.getOutputStream().write(head(LARGE_LINES).toByteArray())
                while (fixture.server.headMemoryBytes < LARGE_MEMORY_BYTES) Thread.onSpinWait()
                assertContains(fixture.sendRaw((head(SMALL_LINES) + end).toByteArray()), "HTTP/1.1 200")
                val refusal = String(large.getInputStream().readAllBytes())
                assertContains(refusal, "HTTP/1.1 503")
                assertContains(refusal, "\"run_state\":\"not_run\"")
            }
            assertEquals(1, fixture.server.memoryRefusals)
        }

    /** Guards against memory that stays counted, with which a server would refuse everybody after some time. */
    @Test
    fun `everything is released after responses, refusals and trailers`() =
        LoopbackFixture(ServerLimits(maxHeadMemoryBytes = 100_000), ::echo).use { fixture ->
            val chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-A: 1\r\n\r\n"
            val text = fixture.sendRaw((chunked + head(2) + "\r\n" + head(2) + end).toByteArray())
            assertEquals(3, text.split("HTTP/1.1 200").size - 1)
            assertContains(fixture.sendRaw(head(TOO_MANY_LINES).toByteArray()), "HTTP/1.1 503")
            val deadlineNs = System.nanoTime() + WAIT_NS
            while (fixture.server.headMemoryBytes > 0 && System.nanoTime() < deadlineNs) Thread.onSpinWait()
            assertTrue(fixture.server.headMemoryBytes == 0L, "${fixture.server.headMemoryBytes} bytes")
        }

    private companion object {
        const val MAX_HEAD_BYTES = 16_384
        const val LARGE_LINES = 350
        const val LARGE_MEMORY_BYTES = 80_000
        const val SMALL_LINES = 100
        const val TOO_MANY_LINES = 600
        const val WAIT_NS = 5_000_000_000
    }
}
