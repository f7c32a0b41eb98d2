package samphirechute.serving.cluster

import org.junit.jupiter.api.Nested
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.core.time.VirtualTimer
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class UpstreamAvailabilitySpec {
    private val timer = VirtualTimer()
    private val table = UpstreamTable()
    private val availability = UpstreamAvailability(timer, table, { DrainedDomains(0, emptySet()) }) {}
    private val id = UpstreamId("u-1")

    private fun announce(bornMs: Long) =
        table.merge(
            UpstreamRecord(
                id,
                ServiceName("desk"),
                HostPort("127.0.0.1", 2),
                FailureDomain("a"),
                slots = 4,
                UpstreamState.READY,
                bornMs,
            ),
            timer.nowMs(),
        )

    @Nested
    inner class AnUpstreamWithoutARecord {
        @Test
        fun `is available, since its announcement may not have arrived yet`() = assertTrue(availability.isAvailable(id))

        /** Guards against requests to an upstream that said that it leaves before its record arrived here. */
        @Test
        fun `is not available once it has said that it leaves, even when its record arrives later`() {
            availability.markLeaving(id)
            assertFalse(availability.isAvailable(id))
            announce(bornMs = 5)
            assertFalse(availability.isAvailable(id))
            announce(bornMs = 5)
            assertFalse(availability.isAvailable(id))
        }

        @Test
        fun `is available again in a later incarnation`() {
            availability.markLeaving(id)
            announce(bornMs = 5)
            assertFalse(availability.isAvailable(id))
            announce(bornMs = 6)
            assertTrue(availability.isAvailable(id))
        }
    }
}
