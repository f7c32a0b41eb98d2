package samphirechute.net

import org.junit.jupiter.api.Nested
import java.net.InetAddress
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RequestMemorySpec {
    private val memory = RequestMemory(LIMIT_BYTES)
    private val evicted = ArrayList<String>()

    private fun holder(
        name: String,
        peer: Int = 1,
    ) = memory.Holder(InetAddress.getByName("127.0.0.$peer")) { evicted += name }

    @Nested
    inner class WhenTheLimitIsExceeded {
        /** Guards against small requests that are refused because large unfinished ones fill the memory. */
        @Test
        fun `the largest holder gives way`() {
            holder("small").add(10)
            holder("large").add(80)
            assertTrue(holder("new").add(20))
            assertEquals(listOf("large"), evicted)
            assertEquals(30, memory.usedBytes)
        }

        @Test
        fun `the newest is refused if it is the largest`() {
            holder("small").add(30)
            assertFalse(holder("new").add(80))
            assertEquals(emptyList(), evicted)
        }

        /** Guards against a refusal that claims that a request has not run. */
        @Test
        fun `a request that may run does not give way`() {
            holder("running").also { it.add(90) }.isEvictable = false
            assertFalse(holder("new").add(20))
            assertEquals(emptyList(), evicted)
        }
    }

    @Nested
    inner class Peers {
        @Test
        fun `that are alone may use all of it`() = assertTrue(holder("alone").add(LIMIT_BYTES))

        /** Guards against one address that leaves others no memory. */
        @Test
        fun `exceed their share only while no other has requests`() {
            holder("first", peer = 1).add(70)
            holder("second", peer = 1).add(5)
            assertTrue(holder("other", peer = 2).add(10))
            assertTrue(holder("third", peer = 1).add(1))
            assertEquals(listOf("first"), evicted)
        }
    }

    @Test
    fun `closed holders release what they held`() {
        val holder = holder("closed").also { it.add(50) }
        holder.close()
        holder.close()
        assertEquals(0, memory.usedBytes)
        assertFalse(holder.add(1))
    }

    private companion object {
        const val LIMIT_BYTES = 100L
    }
}
