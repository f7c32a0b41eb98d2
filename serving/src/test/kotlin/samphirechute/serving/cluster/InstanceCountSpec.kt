package samphirechute.serving.cluster

import org.junit.jupiter.api.Nested
import samphirechute.core.time.VirtualTimer
import kotlin.test.Test
import kotlin.test.assertEquals

class InstanceCountSpec {
    private val timer = VirtualTimer(startMs = 1_000)
    private val count = InstanceCount(timer)

    /** Reports [reported] each second, for [forMs] from the first report to the last. */
    private fun report(
        reported: Int,
        forMs: Long = 0,
        isCurrent: Boolean = true,
    ) {
        count.record(reported, isCurrent)
        repeat((forMs / REPORT_EVERY_MS).toInt()) {
            timer.advanceBy(REPORT_EVERY_MS)
            count.record(reported, isCurrent)
        }
    }

    @Nested
    inner class Growth {
        @Test
        fun `the count is 1 before the first report and never less`() {
            assertEquals(1, count.value)
            report(0)
            assertEquals(1, count.value)
        }

        /** Guards against shares that add up to more than the bound after instances were added. */
        @Test
        fun `a higher report counts at once, whoever sends it`() {
            report(4)
            assertEquals(4, count.value)
            report(15, isCurrent = false)
            assertEquals(15, count.value)
        }
    }

    @Nested
    inner class Decline {
        /** Guards against instances that each take the whole of a bound once control instances have restarted. */
        @Test
        fun `a lower report does not count before the time has passed`() {
            report(15)
            report(1, forMs = InstanceCount.KEEP_MS - REPORT_EVERY_MS)
            assertEquals(15, count.value)
        }

        /** Guards against shares that stay too small after a fleet has shrunk. */
        @Test
        fun `after the time with lower reports the count is the highest of them`() {
            report(15)
            report(9)
            report(12)
            report(7, forMs = InstanceCount.KEEP_MS)
            assertEquals(12, count.value)
            report(7, forMs = 2 * InstanceCount.KEEP_MS)
            assertEquals(7, count.value)
        }

        @Test
        fun `a report as high as the count starts the time anew`() {
            report(15)
            report(7, forMs = InstanceCount.KEEP_MS - REPORT_EVERY_MS)
            report(15)
            report(7, forMs = InstanceCount.KEEP_MS - REPORT_EVERY_MS)
            assertEquals(15, count.value)
        }
    }

    @Nested
    inner class LostContact {
        /** Guards against a cut-off instance that takes the whole of a bound as soon as it hears from anyone again. */
        @Test
        fun `the count stays without reports, and the first lower one after a gap does not end it`() {
            report(15)
            report(3)
            timer.advanceBy(10 * InstanceCount.KEEP_MS)
            assertEquals(15, count.value)
            report(3)
            assertEquals(15, count.value)
            report(3, forMs = InstanceCount.KEEP_MS - REPORT_EVERY_MS)
            assertEquals(15, count.value)
        }

        /** Guards against the count of a cut-off failure domain, whose instances are only a part of all. */
        @Test
        fun `lower reports without contact to a leader never count`() {
            report(15)
            report(5, forMs = 10 * InstanceCount.KEEP_MS, isCurrent = false)
            assertEquals(15, count.value)
        }
    }

    private companion object {
        const val REPORT_EVERY_MS = 1_000L
    }
}
