package samphirechute.state.host

import org.junit.jupiter.api.Nested
import samphirechute.state.raft.RaftTimings
import samphirechute.state.sim.CoreReplacement
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against an acknowledged configuration that is lost or not in force once all members of the store have been
 * replaced and have lost power together. Set `schedule.seed` and `schedule.count` for other seeds.
 */
class CoreReplacementSpec {
    private val first = System.getProperty("schedule.seed")?.toLong() ?: 1001L
    private val count = System.getProperty("schedule.count")?.toInt() ?: 60

    private fun assertNoViolations(
        tolerated: Int,
        timings: RaftTimings,
    ) {
        val schedules = (first until first + count).map { CoreReplacement(it, tolerated, timings) }
        val failed = schedules.flatMap { it.run() }
        val acknowledged = schedules.sumOf { it.acknowledgements }
        println(
            "core replacements: seeds $first to ${first + count - 1}, $tolerated tolerated, $acknowledged acknowledged",
        )
        assertEquals(emptyList(), failed.take(3), "${failed.size} of $count schedules failed")
    }

    @Nested
    inner class WithTheTimingsOfAControlInstance {
        private val timings = RaftTimings(hasLeaseReads = false)

        @Test
        fun `three members are replaced and keep what was acknowledged`() = assertNoViolations(tolerated = 1, timings)

        @Test
        fun `five members are replaced and keep what was acknowledged`() = assertNoViolations(tolerated = 2, timings)
    }

    @Nested
    inner class WithSmallBatchesAndFrequentSnapshots {
        private val timings =
            RaftTimings(
                hasLeaseReads = false,
                catchUpEntries = 2,
                maxBatchEntries = 4,
                maxInFlightEntries = 4,
                snapshotEntries = 12,
                trailingEntries = 6,
            )

        @Test
        fun `three members are replaced and keep what was acknowledged`() = assertNoViolations(tolerated = 1, timings)

        @Test
        fun `five members are replaced and keep what was acknowledged`() = assertNoViolations(tolerated = 2, timings)
    }
}
