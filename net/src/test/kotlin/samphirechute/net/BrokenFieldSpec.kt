package samphirechute.net

import com.github.michaelbull.result.getError
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

/** Copies whose head ends within the name of a field, so that the decoder takes the status line behind it for none. */
class BrokenFieldSpec {
    private fun assertMalformed(copy: String) {
        val outcome = CopyScript("HTTP/1.1 200 OK\r\n" + copy + "HTTP/1.1 500 Failed\r\nId: own\r\n\r\n").call("HEAD")
        assertNull(outcome.response?.status)
        assertIs<ClientFailure.Malformed>(outcome.result.getError())
    }

    /** Guards against the status of a copy with the fields of the next answer, whose status line has no colon. */
    @Test
    fun `a field without a colon fails the call`() = assertMalformed("some words")

    @Test
    fun `a name that is broken off before its colon fails the call`() {
        assertMalformed("Server ")
        assertMalformed("Server: a\r\nDate\t")
    }

    @Test
    fun `a space before a colon is accepted`() {
        val wire = "HTTP/1.1 500 F\r\nServer : a\r\nId\t: own\r\nContent-Length: 0\r\n\r\n"
        assertEquals("500 ", CopyScript(wire).call().toString())
    }
}
