package samphirechute.net

import io.netty.channel.embedded.EmbeddedChannel
import org.junit.jupiter.api.Nested
import samphirechute.core.HostPort
import samphirechute.core.time.VirtualTimer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertSame
import kotlin.test.assertTrue

class ConnectionPoolSpec {
    private val timer = VirtualTimer(startMs = 1_000)
    private val pool = ConnectionPool(timer, MAX_IDLE_MS)

    private fun released(limitMs: Long = Long.MAX_VALUE) = EmbeddedChannel().also { pool.release(ADDRESS, it, limitMs) }

    @Nested
    inner class IdleConnections {
        /** Guards the connections that an upstream accepts from all instances together against those of no use. */
        @Test
        fun `are closed soon after they may no longer be reused`() {
            val channels = List(3) { released() }
            timer.advanceBy(MAX_IDLE_MS)
            assertTrue(channels.all { it.isOpen })
            timer.advanceBy(CLOSED_WITHIN_MS)
            assertTrue(channels.none { it.isOpen })
        }

        /** Guards against surplus connections that stay open because those used later are reused first. */
        @Test
        fun `are closed while others to the same address are in use`() {
            val surplus = released()
            val used = released()
            repeat((MAX_IDLE_MS / REUSE_EVERY_MS).toInt() + 1) {
                timer.advanceBy(REUSE_EVERY_MS)
                assertSame(used, pool.acquire(ADDRESS))
                pool.release(ADDRESS, used)
            }
            timer.advanceBy(CLOSED_WITHIN_MS)
            assertEquals(false to true, surplus.isOpen to used.isOpen)
        }

        @Test
        fun `are closed as early as their peer says`() {
            val channel = released(limitMs = 500)
            timer.advanceBy(500 + CLOSED_WITHIN_MS)
            assertFalse(channel.isOpen)
        }
    }

    private companion object {
        val ADDRESS = HostPort("127.0.0.1", 1)
        const val MAX_IDLE_MS = 10_000L
        const val REUSE_EVERY_MS = 2_000L

        /** A tenth of the time for which a connection may stay idle. */
        const val CLOSED_WITHIN_MS = 1_000L
    }
}
