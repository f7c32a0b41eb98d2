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

    private fun SimCluster.joinRequests() =
        leader
            ?.raft
            ?.joinRequests
            .orEmpty()
            .map { it.instance }

    /** Adds the first member that has asked to join, as a control instance does. */
    private fun SimCluster.addJoiningMember() {
        val leading = leader ?: return
        val joining =
            leading.raft
                ?.joinRequests
                .orEmpty()
                .firstOrNull() ?: return
        propose(leading, Command.AddMember(OperationId("join-${joining.diskId}-${timer.nowMs()}"), joining))
    }

    @Nested
    inner class NewMembers {
        @Test
        fun `new members that know the initial members ask to join and become voters`() {
            val cluster = settled()
            val added = cluster.addNode(InstanceId("d"))
            assertTrue(cluster.runUntil(2_000) { cluster.joinRequests() == listOf(added.instance) }, cluster.describe())
            cluster.addJoiningMember()
            assertTrue(cluster.runUntil(4_000) { cluster.isSettled && added.raft?.isVoter == true }, cluster.describe())
        }

        /** Guards against a second store that is created by members whose disks were all replaced. */
        @Test
        fun `members that must not create a store wait for the existing one`() {
            val joining =
                RaftNode(member("x"), setOf(InstanceId("x")), RestoredLog(), random(), 0, canBootstrap = false)
            val creating = RaftNode(member("x"), setOf(InstanceId("x")), RestoredLog(), random(), 0)
            for (nowMs in 0L..2_000L step 20) {
                joining.handle(RaftInput.Tick(nowMs), nowMs)
                creating.handle(RaftInput.Tick(nowMs), nowMs)
            }
            assertEquals(0, joining.lastIndex)
            assertEquals(1, creating.lastIndex)
        }

        /** Guards against a member that never joins because all that it was started with were replaced before it reached one. */
        @Test
        fun `members that wait for the store ask the members that the settings name now`() {
            val joining =
                RaftNode(member("x"), setOf(InstanceId("gone")), RestoredLog(), random(), 0, canBootstrap = false)
            assertEquals(setOf(InstanceId("gone")), asked(joining, 0L..2_000L))
            joining.updatePeers(setOf(InstanceId("x"), InstanceId("y")))
            assertEquals(setOf(InstanceId("y")), asked(joining, 2_020L..4_000L))
        }

        /** Guards against a store that is founded by other members than its first start named. */
        @Test
        fun `members that may create the store keep those of its first start`() {
            val creating = RaftNode(member("x"), setOf(InstanceId("y")), RestoredLog(), random(), 0)
            creating.updatePeers(setOf(InstanceId("x")))
            assertEquals(setOf(InstanceId("y")), asked(creating, 0L..2_000L))
            assertEquals(0, creating.lastIndex)
        }

        private fun asked(
            node: RaftNode,
            timesMs: LongRange,
        ) = (timesMs step 20)
            .flatMap { node.handle(RaftInput.Tick(it), it) }
            .filterIsInstance<RaftOutput.Send>()
            .map { it.to }
            .toSet()

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
        fun `wiped members ask to join with their new disk and become voters`() {
            val cluster = settled()
            val wiped = cluster.nodes.values.first { it != cluster.leader }
            wiped.wipe()
            assertTrue(cluster.runUntil(2_000) { wiped.instance in cluster.joinRequests() }, cluster.describe())
            cluster.addJoiningMember()
            assertTrue(cluster.runUntil(4_000) { cluster.isSettled && wiped.raft?.isVoter == true }, cluster.describe())
        }
    }

    @Nested
    inner class MissingMembers {
        /** Guards against a member that never returns because it does not learn of its removal. */
        @Test
        fun `members that were removed while isolated ask to join again`() {
            val cluster = settled()
            val cut = cluster.nodes.values.first { it != cluster.leader }
            cluster.network.isolate(cut.instance, cluster.nodes.keys)
            cluster.run(500)
            val leading = checkNotNull(cluster.leader)
            cluster.propose(leading, Command.RemoveMember(OperationId("remove"), cut.instance))
            cluster.run(500)
            cluster.network.heal()
            assertTrue(cluster.runUntil(5_000) { cut.instance in cluster.joinRequests() }, cluster.describe())
        }

        @Test
        fun `the leader lists members that do not answer`() {
            val cluster = settled()
            val killed = cluster.nodes.values.first { it != cluster.leader }
            assertEquals(emptyList(), cluster.leader?.raft?.unresponsiveMembers(durationMs = 1_000))
            killed.kill()
            cluster.run(1_500)
            assertEquals(
                listOf(killed.instance),
                cluster.leader
                    ?.raft
                    ?.unresponsiveMembers(1_000)
                    ?.map { it.instance },
            )
        }
    }
}
