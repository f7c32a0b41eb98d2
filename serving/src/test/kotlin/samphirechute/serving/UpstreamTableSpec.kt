package samphirechute.serving

import org.junit.jupiter.api.Nested
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.core.time.VirtualTimer
import samphirechute.serving.cluster.UpstreamRecord
import samphirechute.serving.cluster.UpstreamState
import samphirechute.serving.cluster.UpstreamTable
import samphirechute.serving.control.UpstreamRegistry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class UpstreamTableSpec {
    private val table = UpstreamTable()

    private fun record(
        id: String = "u-1",
        sequence: Long = 1,
        bornMs: Long = 100,
        state: UpstreamState = UpstreamState.READY,
        port: Int = 80,
    ) = UpstreamRecord(
        UpstreamId(id),
        ServiceName("svc"),
        HostPort("10.0.0.1", port),
        FailureDomain("a"),
        4,
        state,
        bornMs,
        sequence,
    )

    private fun stateOf(id: String) = table[UpstreamId(id)]?.state

    @Nested
    inner class OrderOfRecords {
        @Test
        fun `an earlier announcement that arrives late changes nothing`() {
            table.merge(record(sequence = 3, state = UpstreamState.DRAINING), 0)
            assertFalse(table.merge(record(sequence = 2), 0))
            assertEquals(UpstreamState.DRAINING, stateOf("u-1"))
        }

        /** Guards against a late announcement that makes an upstream available again after it has left. */
        @Test
        fun `after the end of an incarnation only the next incarnation counts`() {
            table.merge(record(sequence = 3), 0)
            table.merge(record(sequence = 3, state = UpstreamState.GONE), 0)
            assertFalse(table.merge(record(sequence = 9), 0))
            assertTrue(table.merge(record(sequence = 1, bornMs = 200), 0))
            assertEquals(UpstreamState.READY, stateOf("u-1"))
        }

        @Test
        fun `a restarted upstream replaces its earlier incarnation, whatever its sequence`() {
            table.merge(record(sequence = 50), 0)
            assertTrue(table.merge(record(sequence = 1, bornMs = 200), 0))
            assertFalse(table.merge(record(sequence = 51), 0))
        }
    }

    @Nested
    inner class Addresses {
        /** Guards against requests to an address that another upstream has taken over. */
        @Test
        fun `the upstream that started later holds an address`() {
            table.merge(record("old", bornMs = 100), 0)
            assertTrue(table.merge(record("new", bornMs = 200), 0))
            assertEquals(UpstreamState.GONE, stateOf("old"))
            assertFalse(table.merge(record("older", bornMs = 50), 0))
        }

        @Test
        fun `two upstreams of one host hold different ports`() {
            table.merge(record("one", port = 80), 0)
            table.merge(record("two", port = 81), 0)
            assertEquals(listOf(UpstreamState.READY, UpstreamState.READY), listOf(stateOf("one"), stateOf("two")))
        }
    }

    @Nested
    inner class Silence {
        private val timer = VirtualTimer()
        private var changes = 0
        private val registry = UpstreamRegistry(timer, announceEveryMs = 1_000) { changes++ }.also { it.start() }

        @Test
        fun `is noticed after four missing announcements and ends with the next one`() {
            registry.register(record())
            timer.advanceBy(3_500)
            assertFalse(
                registry.table
                    .all()
                    .single()
                    .isSilent,
            )
            timer.advanceBy(1_500)
            assertTrue(
                registry.table
                    .all()
                    .single()
                    .isSilent,
            )
            registry.register(record(sequence = 2))
            assertFalse(
                registry.table
                    .all()
                    .single()
                    .isSilent,
            )
        }

        /** Guards against traffic between instances that grows with the number of announcements. */
        @Test
        fun `an announcement that changes nothing is not passed on`() {
            (1L..10L).forEach { registry.register(record(sequence = it)) }
            assertEquals(1, changes)
        }

        /**
         * Guards an upstream that now announces itself to another control instance: the first one reports it silent.
         */
        @Test
        fun `is not accepted from another instance while the upstream announces itself here`() {
            registry.register(record(sequence = 7))
            registry.mergeRecords(listOf(record(sequence = 5).copy(isSilent = true)))
            assertFalse(
                registry.table
                    .all()
                    .single()
                    .isSilent,
            )
        }
    }
}
