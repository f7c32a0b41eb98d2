package samphirechute.state.raft

import org.junit.jupiter.api.Nested
import samphirechute.state.sim.LostDiskSchedule
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Set `schedule.seed` and `schedule.count` for other seeds. */
class LostDiskScheduleSpec {
    private val first = System.getProperty("schedule.seed")?.toLong() ?: 1L
    private val count = System.getProperty("schedule.count")?.toInt() ?: 500

    private fun assertNoViolations(size: Int) {
        val schedules = (first until first + count).map { LostDiskSchedule(it, size) }
        val failed = schedules.flatMap { it.run() }
        val halfElections = schedules.sumOf { it.halfElections }
        println(
            "lost disk schedules: seeds $first to ${first + count - 1}, $size members, " +
                "$halfElections elections with lost disks",
        )
        assertEquals(emptyList(), failed.take(3), "${failed.size} of $count schedules failed")
        assertTrue(halfElections > 0, "no election was won with a lost disk")
    }

    /**
     * Guards against two halves of an even number of voters that both go on, because each takes a disk of the other for
     * lost.
     */
    @Nested
    inner class MoreLossesThanTolerated {
        @Test
        fun `four members never have two leaders in a term and forget nothing`() = assertNoViolations(4)

        @Test
        fun `six members never have two leaders in a term and forget nothing`() = assertNoViolations(6)

        @Test
        fun `five members never have two leaders in a term and forget nothing`() = assertNoViolations(5)
    }
}
