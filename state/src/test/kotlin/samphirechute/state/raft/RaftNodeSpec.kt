package samphirechute.state.raft

import org.junit.jupiter.api.Nested
import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.sim.SimCluster
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RaftNodeSpec {
    private val cluster = SimCluster(seed = 1)
    private val outcomes = mutableListOf<ProposalOutcome>()

    private fun publish(
        base: Long,
        id: String = "op-$base",
    ) = cluster.propose(checkNotNull(cluster.leader), Command.PublishConfig(OperationId(id), base, emptyList())) {
        outcomes +=
            it
    }

    @Nested
    inner class Replication {
        /** Guards against a log that answers before it commits, or commits on the leader alone. */
        @Test
        fun `a command is answered once and applied by every member`() {
            assertTrue(cluster.runUntil(3_000) { cluster.isSettled })
            publish(base = 0)
            cluster.run(500)
            assertEquals(
                listOf<CommandResult>(CommandResult.Published(1)),
                outcomes.map {
                    (it as ProposalOutcome.Committed).result
                },
            )
            assertEquals(listOf(1L, 1L, 1L), cluster.nodes.values.map { it.raft?.state?.revision })
            assertEquals(emptyList(), cluster.history.faults(cluster.nodes.values.mapNotNull { it.raft?.state }))
        }
    }
}
