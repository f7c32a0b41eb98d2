package samphirechute.state.raft

import org.junit.jupiter.api.Nested
import samphirechute.state.command.Command
import samphirechute.state.sim.SimCluster
import kotlin.test.Test
import kotlin.test.assertTrue

class LogTimeSpec {
    @Nested
    inner class Jumps {
        /**
         * Guards against claims that expire early, and so allow a second run, because the clock of one member has
         * jumped.
         */
        @Test
        fun `a jump of a single clock does not move the log time`() {
            for (skewMs in listOf(2 * DAY_MS, -2 * DAY_MS)) {
                for (position in 0..2) {
                    val cluster = SimCluster(seed = 1)
                    assertTrue(cluster.runUntil(3_000) { cluster.isSettled })
                    cluster.nodes.values
                        .toList()[position]
                        .wallSkewMs = skewMs
                    cluster.run(500)
                    val leader = checkNotNull(cluster.leader)
                    cluster.propose(leader, Command.Noop)
                    cluster.run(100)
                    val aheadMs = (leader.raft?.state?.atMs ?: 0) - SimCluster.START_WALL_MS - cluster.timer.nowMs()
                    assertTrue(aheadMs in -1_000..1_000, "member $position jumped by $skewMs ms: off by $aheadMs ms")
                }
            }
        }
    }

    private companion object {
        const val DAY_MS = 86_400_000L
    }
}
