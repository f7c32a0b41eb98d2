package samphirechute.net

import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** What the log says of bytes that arrive while no call waits. */
class UnaskedAnswerSpec {
    private fun headOf(text: String) = UnaskedAnswer.headOf(Unpooled.copiedBuffer(text, Charsets.ISO_8859_1))

    /** Guards against a second answer to a request that the log does not tell from other bytes. */
    @Test
    fun `an answer is named by its status and its fields`() {
        val head = headOf("HTTP/1.1 500 Failed\r\nServer: x\r\nId: r-1\r\n\r\nbody: no field")
        assertEquals(500 to "r-1", head?.status to head?.get("Id"))
        assertNull(head?.get("body"))
    }

    @Test
    fun `a cut answer is named as far as it has arrived`() {
        assertEquals("r-1", headOf("HTTP/1.1 200 OK\r\nId: r-1\r\nServ")?.get("Id"))
        assertEquals(200, headOf("HTTP/1.1 200")?.status)
    }

    @Test
    fun `other bytes are no answer`() {
        val texts = listOf("", "\r\n", "HTTP/1.1 2", "HTTP/1.1 20X OK\r\n", "body")
        texts.forEach { assertNull(headOf(it), it) }
    }
}
