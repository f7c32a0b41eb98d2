package samphirechute.state.raft

import org.junit.jupiter.api.Nested
import samphirechute.state.sim.FileDisk
import samphirechute.state.sim.RandomSchedule
import kotlin.test.Test
import kotlin.test.assertEquals

class RandomScheduleSpec {
    @Nested
    inner class Faults {
        /**
         * Guards against lost writes, repeated runs and reverted revisions under combinations of faults that no table
         * lists.
         */
        @Test
        fun `members agree and lose nothing under random kills, cuts, wipes, stalls and clock jumps`() {
            val first = System.getProperty("schedule.seed")?.toLong() ?: 1L
            val count = System.getProperty("schedule.count")?.toInt() ?: 10_000
            println("random schedules: seeds $first to ${first + count - 1}")
            val failed =
                (first until first + count).mapNotNull { seed ->
                    RandomSchedule(seed).run().takeIf { it.isNotEmpty() }?.let {
                        seed to
                            it
                    }
                }
            assertEquals(emptyList(), failed.take(5), "${failed.size} of $count schedules failed")
        }

        /**
         * Guards against faults that only occur with the file format, such as a write that is torn within a snapshot.
         */
        @Test
        fun `members agree and lose nothing with the real file format`() {
            val failed =
                (1L..300L).mapNotNull { seed ->
                    RandomSchedule(seed, ::FileDisk).run().takeIf { it.isNotEmpty() }?.let {
                        seed to
                            it
                    }
                }
            assertEquals(emptyList(), failed.take(5), "${failed.size} schedules failed")
        }
    }
}
