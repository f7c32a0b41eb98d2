package samphirechute.state.raft

import org.junit.jupiter.api.Nested
import samphirechute.state.sim.SimCluster
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RestartSpec {
    private fun settled(timings: RaftTimings) =
        SimCluster(seed = 7, timings = timings).apply { assertTrue(runUntil(3_000) { isSettled }, describe()) }

    private fun SimCluster.restartAll() = nodes.values.forEach { it.restart() }

    @Nested
    inner class WhereReadsAreConfirmed {
        private val timings = RaftTimings(hasLeaseReads = false)

        /** Guards the time without service after a restart of the whole system. */
        @Test
        fun `a leader is elected before the shortest lease would have ended`() {
            val cluster = settled(timings)
            cluster.restartAll()
            val isLed = cluster.runUntil(timings.electionMinMs) { cluster.leader?.raft?.isLeader == true }
            assertTrue(isLed, cluster.describe())
        }

        @Test
        fun `a member that restarts alone leaves the leader in place`() {
            val cluster = settled(timings)
            val term = cluster.leader?.raft?.term
            repeat(5) {
                cluster.nodes.values
                    .first { it != cluster.leader }
                    .restart()
                cluster.run(1_000)
            }
            assertEquals(term, cluster.leader?.raft?.term)
        }
    }

    @Nested
    inner class WhereReadsRestOnLeases {
        @Test
        fun `nobody leads before the lease has ended`() {
            val timings = RaftTimings()
            val cluster = settled(timings)
            cluster.restartAll()
            val isLed = cluster.runUntil(timings.electionMinMs - 50) { cluster.leader?.raft?.isLeader == true }
            assertTrue(!isLed, cluster.describe())
        }
    }
}
