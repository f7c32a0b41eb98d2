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

    private fun assertNoViolations(tolerated: Int) {
        println("membership schedules: seeds $first to ${first + count - 1}, $tolerated tolerated")
        val failed = (first until first + count).flatMap { MembershipSchedule(it, tolerated).run() }
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
}
