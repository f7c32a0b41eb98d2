package samphirechute.state.raft

import org.junit.jupiter.api.Nested
import samphirechute.state.command.Command
import samphirechute.state.sim.SimCluster
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StartedMemberSpec {
    private val cluster = SimCluster(seed = 5)

    private fun adopt(revision: Long) {
        var isCommitted = false
        cluster.propose(checkNotNull(cluster.leader), Command.AdoptConfig(revision, "content $revision")) {
            isCommitted = it is ProposalOutcome.Committed
        }
        assertTrue(cluster.runUntil(LIMIT_MS) { isCommitted && cluster.isSettled }, cluster.describe())
    }

    @Nested
    inner class States {
        /** Guards against a member that counts as current while its state lacks what was committed before it started. */
        @Test
        fun `are those of the current term only once all that was committed before is applied`() {
            assertTrue(cluster.runUntil(LIMIT_MS) { cluster.isSettled }, cluster.describe())
            adopt(REVISION)
            cluster.nodes.values.forEach { it.restart() }
            val behind = ArrayList<Long?>()
            var hasSeenLeaderBefore = false
            cluster.onOutput = { node, _ ->
                val raft = checkNotNull(node.raft)
                val revision = raft.state.adopted?.revision
                if (raft.leader != null && revision != REVISION) hasSeenLeaderBefore = true
                if (raft.hasAppliedTerm && revision != REVISION) behind += revision
            }
            assertTrue(cluster.runUntil(LIMIT_MS) { cluster.isSettled }, cluster.describe())
            assertEquals(emptyList(), behind)
            assertTrue(hasSeenLeaderBefore, "no member knew a leader before it had the configuration")
        }
    }

    private companion object {
        const val LIMIT_MS = 5_000L
        const val REVISION = 7L
    }
}
