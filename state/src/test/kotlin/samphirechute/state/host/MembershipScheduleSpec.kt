package samphirechute.state.host

import org.junit.jupiter.api.Nested
import samphirechute.state.sim.MembershipSchedule
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against a store that stops for good: with too few live voters, no operator can do anything about it. Set
 * `schedule.seed` and `schedule.count` for other seeds.
 */
class MembershipScheduleSpec {
    private val first = System.getProperty("schedule.seed")?.toLong() ?: 1L
    private val count = System.getProperty("schedule.count")?.toInt() ?: 400

    private fun assertNoViolations(
        tolerated: Int,
        losesDisksAtOnce: Boolean = false,
    ) {
        println(
            "membership schedules: seeds $first to ${first + count - 1}, $tolerated tolerated, at once: $losesDisksAtOnce",
        )
        val failed = (first until first + count).flatMap { MembershipSchedule(it, tolerated, losesDisksAtOnce).run() }
        assertEquals(emptyList(), failed.take(3), "${failed.size} of $count schedules failed")
    }

    @Nested
    inner class Losses {
        @Test
        fun `three members bear one loss after another and accept and show the newest configuration`() =
            assertNoViolations(tolerated = 1)

        @Test
        fun `five members bear two losses after two others and accept and show the newest configuration`() =
            assertNoViolations(tolerated = 2)
    }

    /**
     * Guards against a store that cannot tell a lost disk from a machine that is cut off: right after a removal without a
     * signal, half of an even number of voters is left, and no majority.
     */
    @Nested
    inner class LossesAtTheMomentOfARemoval {
        @Test
        fun `three members bear a removal and a lost disk at once`() =
            assertNoViolations(tolerated = 1, losesDisksAtOnce = true)

        @Test
        fun `five members bear a removal and two lost disks at once`() =
            assertNoViolations(tolerated = 2, losesDisksAtOnce = true)

        @Test
        fun `seven members bear a removal and three lost disks at once`() =
            assertNoViolations(tolerated = 3, losesDisksAtOnce = true)
    }
}
