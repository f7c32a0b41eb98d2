package samphirechute.net

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Status lines whose status is none, which a client must not be given as a response: `000` reached callers as status 0. */
class InvalidStatusSpec {
    private fun respond(statusLine: String) =
        RawServer { _, output ->
            {
                output.write("$statusLine\r\nContent-Length: 2\r\n\r\nok".toByteArray())
                true
            }
        }.use { server -> LoopbackFixture { }.use { it.call(ClientRequest(server.address, "GET", "/")) } }

    @Nested
    inner class Refused {
        @Test
        fun `are statuses that are not three digits of a known class, and the failure says what came`() {
            val statuses = listOf("000", "099", "600", "999", "20", "2000", "-200", "+20", "2O0", "0x1")
            for (status in statuses) {
                val failure = assertIs<ClientFailure.Malformed>(respond("HTTP/1.1 $status Fine").getError(), status)
                assertTrue(status in failure.detail, "status $status: ${failure.detail}")
            }
        }

        @Test
        fun `is a status line without a status`() {
            for (line in listOf("HTTP/1.1", "HTTP/1.1 OK")) {
                assertIs<ClientFailure.Malformed>(respond(line).getError(), line)
            }
        }
    }

    @Nested
    inner class Accepted {
        @Test
        fun `are statuses of each final class, also those without a name`() {
            for (status in listOf(200, 204, 299, 302, 404, 421, 499, 500, 503, 599)) {
                assertEquals(status, respond("HTTP/1.1 $status").get()?.status)
            }
        }
    }
}
