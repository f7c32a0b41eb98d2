package samphirechute.state.raft

import org.junit.jupiter.api.Nested
import samphirechute.state.sim.SimCluster
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RestartSpec {
    private fun settled(
        timings: RaftTimings,
        seed: Long = 7,
        names: List<String> = listOf("a", "b", "c"),
    ) = SimCluster(seed, names, timings).apply { assertTrue(runUntil(3_000) { isSettled }, describe()) }

    private fun SimCluster.restartAll() = nodes.values.forEach { it.restart() }

    @Nested
    inner class WithConfirmedReads {
        private val timings = RaftTimings(hasLeaseReads = false)

        /** Guards against a longer interruption than necessary after a restart of all members. */
        @Test
        fun `a leader is elected before the shortest possible lease would have ended`() {
            val cluster = settled(timings)
            cluster.restartAll()
            val hasLeader = cluster.runUntil(timings.electionMinMs) { cluster.leader?.raft?.isLeader == true }
            assertTrue(hasLeader, cluster.describe())
        }

        @Test
        fun `the restart of a single follower does not depose the leader`() {
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
    inner class WithSlowMembers {
        private val timings = RaftTimings(hasLeaseReads = false)

        /** Guards against campaigns that each start before the answers to the previous one have arrived. */
        @Test
        fun `a leader is elected even if answers take longer than the first wait for them`() {
            for (oneWayMs in listOf(60L..80L, 100L..140L, 150L..200L, 200L..280L)) {
                for (seed in 1L..SEEDS) {
                    val cluster = settled(timings, seed, SIX_NAMES)
                    cluster.network.minDelayMs = oneWayMs.first
                    cluster.network.maxDelayMs = oneWayMs.last - oneWayMs.first
                    cluster.restartAll()
                    val hasLeader = cluster.runUntil(ELECTION_LIMIT_MS) { cluster.leader?.raft?.isLeader == true }
                    assertTrue(hasLeader, "seed $seed, $oneWayMs ms one way: ${cluster.describe()}")
                }
            }
        }

        /** Guards against more campaigns than members that have just started can answer. */
        @Test
        fun `failed campaigns are repeated at growing intervals`() {
            val cluster = settled(timings, names = SIX_NAMES)
            var campaigns = 0
            cluster.onOutput = { _, output -> if (output is RaftOutput.Campaigning) campaigns++ }
            cluster.restartAll()
            cluster.network.lossPercent = 100
            cluster.run(PERIOD_MS)
            campaigns = 0
            cluster.run(PERIOD_MS)
            val most = SIX_NAMES.size * PERIOD_MS / timings.electionMaxMs
            assertTrue(campaigns <= most, "$campaigns campaigns in $PERIOD_MS ms, at most $most are expected")
        }

        @Test
        fun `isolated voters send hello messages only once a second`() {
            val cluster = settled(timings, names = SIX_NAMES)
            cluster.network.lossPercent = 100
            cluster.run(PERIOD_MS)
            var hellos = 0
            cluster.onOutput = { _, output ->
                if ((output as? RaftOutput.Send)?.message is RaftMessage.Hello) hellos++
            }
            cluster.run(PERIOD_MS)
            val most = SIX_NAMES.size * (SIX_NAMES.size - 1) * PERIOD_MS / 1_000
            assertTrue(hellos <= most, "$hellos hello messages in $PERIOD_MS ms, at most $most are expected")
        }
    }

    @Nested
    inner class WithLeaseReads {
        @Test
        fun `no leader is elected before the lease has ended`() {
            val timings = RaftTimings()
            val cluster = settled(timings)
            cluster.restartAll()
            val hasLeader = cluster.runUntil(timings.electionMinMs - 50) { cluster.leader?.raft?.isLeader == true }
            assertTrue(!hasLeader, cluster.describe())
        }
    }

    private companion object {
        val SIX_NAMES = listOf("a", "b", "c", "d", "e", "f")
        const val SEEDS = 20L

        /** A third of the 15 s within which the larger deployments must recover from the loss of all members. */
        const val ELECTION_LIMIT_MS = 5_000L
        const val PERIOD_MS = 3_000L
    }
}
