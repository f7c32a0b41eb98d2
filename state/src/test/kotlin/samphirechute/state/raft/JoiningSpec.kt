package samphirechute.state.raft

import org.junit.jupiter.api.Nested
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.sim.SimCluster
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class JoiningSpec {
    private fun settled() = SimCluster(seed = 5).apply { assertTrue(runUntil(3_000) { isSettled }, describe()) }

    private fun SimCluster.candidates() =
        leader
            ?.raft
            ?.candidates
            .orEmpty()
            .map { it.instance }

    /** What a control instance does with those that ask to join. */
    private fun SimCluster.admit() {
        val leading = leader ?: return
        val candidate =
            leading.raft
                ?.candidates
                .orEmpty()
                .firstOrNull() ?: return
        propose(leading, Command.AddMember(OperationId("join-${candidate.diskId}-${timer.nowMs()}"), candidate))
    }

    @Nested
    inner class NewMembers {
        @Test
        fun `that know the founders become voters by themselves`() {
            val cluster = settled()
            val added = cluster.addNode(InstanceId("d"))
            assertTrue(cluster.runUntil(2_000) { cluster.candidates() == listOf(added.instance) }, cluster.describe())
            cluster.admit()
            assertTrue(cluster.runUntil(4_000) { cluster.isSettled && added.raft?.isVoter == true }, cluster.describe())
        }

        /** Guards against a store beside the old one that is founded by members whose disks were all replaced. */
        @Test
        fun `that may not found wait for the store`() {
            val alone = RaftNode(member("x"), setOf(InstanceId("x")), RestoredLog(), random(), 0, canBootstrap = false)
            val founder = RaftNode(member("x"), setOf(InstanceId("x")), RestoredLog(), random(), 0)
            for (nowMs in 0L..2_000L step 20) {
                alone.handle(RaftInput.Tick(nowMs), nowMs)
                founder.handle(RaftInput.Tick(nowMs), nowMs)
            }
            assertEquals(0, alone.lastIndex)
            assertEquals(1, founder.lastIndex)
        }

        private fun random() = kotlin.random.Random(1)

        private fun member(name: String) =
            SimCluster(seed = 1, names = listOf(name))
                .nodes.values
                .first()
                .member
    }

    @Nested
    inner class WipedMembers {
        @Test
        fun `come back under their name as another disk`() {
            val cluster = settled()
            val wiped = cluster.nodes.values.first { it != cluster.leader }
            wiped.wipe()
            assertTrue(cluster.runUntil(2_000) { wiped.instance in cluster.candidates() }, cluster.describe())
            cluster.admit()
            assertTrue(cluster.runUntil(4_000) { cluster.isSettled && wiped.raft?.isVoter == true }, cluster.describe())
        }
    }

    @Nested
    inner class RemovedMembers {
        /** Guards against a member that stays out for good because nobody told it of its removal. */
        @Test
        fun `that were cut off meanwhile ask to join again`() {
            val cluster = settled()
            val cut = cluster.nodes.values.first { it != cluster.leader }
            cluster.network.isolate(cut.instance, cluster.nodes.keys)
            cluster.run(500)
            val leading = checkNotNull(cluster.leader)
            cluster.propose(leading, Command.RemoveMember(OperationId("remove"), cut.instance))
            cluster.run(500)
            cluster.network.heal()
            assertTrue(cluster.runUntil(5_000) { cut.instance in cluster.candidates() }, cluster.describe())
        }

        @Test
        fun `are seen to be silent first`() {
            val cluster = settled()
            val killed = cluster.nodes.values.first { it != cluster.leader }
            assertEquals(emptyList(), cluster.leader?.raft?.silentMembers(forMs = 1_000))
            killed.kill()
            cluster.run(1_500)
            assertEquals(
                listOf(killed.instance),
                cluster.leader
                    ?.raft
                    ?.silentMembers(1_000)
                    ?.map { it.instance },
            )
        }
    }
}
