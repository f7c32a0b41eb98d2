package samphirechute.net

import kotlin.test.Test
import kotlin.test.assertEquals

/** Status lines that the decoder accepts although they are not as the protocol writes them. */
class LenientStatusLineSpec {
    private fun outcomes(before: String) =
        listOf("http/1.1 500", "HTTP/1.1  500", "HTTP/1.1\t500").map {
            CopyScript("$before$it Failed\r\nId: own\r\nContent-Length: 0\r\n\r\n").call().toString()
        }

    @Test
    fun `give a status`() = assertEquals(List(3) { "500 " }, outcomes(before = ""))

    /** Guards against the status of a copy with the fields of the next answer, whose status line is not recognized. */
    @Test
    fun `fail the call when a copy is broken off before them`() =
        assertEquals(List(3) { "Malformed" }, outcomes(before = "HTTP/1.1 200 OK\r\nServer: stan"))
}
