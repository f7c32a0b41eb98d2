package samphirechute.state.raft

import samphirechute.state.sim.SimCluster
import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against a member that refuses the votes of the others while it only waits to campaign again. */
class LoneStarterSpec {
    @Test
    fun `a member that has started alone does not hold up the one that completes the majority`() {
        for (seed in 1L..SEEDS) {
            val cluster = SimCluster(seed, timings = RaftTimings(hasLeaseReads = false))
            assertTrue(cluster.runUntil(3_000) { cluster.isSettled }, cluster.describe())
            val (early, late, lost) = cluster.nodes.values.toList()
            listOf(early, late, lost).forEach { it.kill() }
            early.start()
            cluster.run(cluster.random.nextLong(MAX_ALONE_MS))
            late.start()
            val hasLeader = cluster.runUntil(COMMIT_LIMIT_MS) { cluster.leader != null }
            assertTrue(hasLeader, "seed $seed: ${cluster.describe()}")
        }
    }

    private companion object {
        const val SEEDS = 20L
        const val MAX_ALONE_MS = 5_000L

        /** The time within which a lost leader is replaced. */
        const val COMMIT_LIMIT_MS = 1_000L
    }
}
