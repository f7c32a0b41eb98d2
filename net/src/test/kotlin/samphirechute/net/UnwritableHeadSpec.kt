package samphirechute.net

import org.junit.jupiter.api.Nested
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals

/** Handlers that give a header value that the codec refuses. */
class UnwritableHeadSpec {
    @Nested
    inner class Answers {
        /** Guards against a caller that waits for ever for an answer whose head could not be written. */
        @Test
        fun `with a refused header are replaced by an error`() {
            val bad = "a\r\nb"
            val rows: Map<String, (Exchange) -> Unit> =
                mapOf(
                    "respond" to { it.respond(200, "text/plain", ByteArray(2), mapOf("X" to bad)) },
                    "stream" to { it.startStream(200, "text/plain", mapOf("X" to bad)).finish() },
                    "relay" to { it.startRelay(200, listOf(HeaderField("X", bad)), null).finish() },
                )
            assertEquals(rows.mapValues { "HTTP/1.1 500" }, rows.mapValues { (_, handler) -> firstLine(handler) })
        }

        private fun firstLine(handler: (Exchange) -> Unit): String =
            LoopbackFixture(ServerLimits(), handler).use { fixture ->
                Socket(fixture.address.host, fixture.address.port).use { socket ->
                    socket.soTimeout = READ_MS
                    val request = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"
                    socket.getOutputStream().apply { write(request.encodeToByteArray()) }.flush()
                    runCatching { String(socket.getInputStream().readNBytes(STATUS_BYTES)) }.getOrElse { "$it" }
                }
            }
    }

    private companion object {
        const val READ_MS = 2_000
        const val STATUS_BYTES = 12
    }
}
