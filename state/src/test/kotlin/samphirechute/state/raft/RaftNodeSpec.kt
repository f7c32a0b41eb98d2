package samphirechute.state.raft

import org.junit.jupiter.api.Nested
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.sim.SimCluster
import samphirechute.state.sim.SimCluster.SimNode
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class RaftNodeSpec {
    private val outcomes = mutableListOf<ProposalOutcome>()

    private fun settled(seed: Long = 1) =
        SimCluster(seed).apply { assertTrue(runUntil(3_000) { isSettled }, describe()) }

    private val SimCluster.leading: SimNode get() = checkNotNull(leader) { describe() }
    private val SimCluster.followers get() = nodes.values.filter { it != leader }

    private fun SimCluster.publish(
        at: SimNode = leading,
        base: Long = 0,
    ) = propose(at, Command.PublishConfig(OperationId("op-$base"), base, emptyList())) { outcomes += it }

    private fun SimCluster.isolate(node: SimNode) =
        nodes.keys.forEach {
            network.cut(node.instance, it)
            network.cut(it, node.instance)
        }

    @Nested
    inner class Replication {
        /** Guards against an answer before the commit, and against a commit on the leader alone. */
        @Test
        fun `a command is answered once and applied by every member`() {
            val cluster = settled()
            cluster.publish()
            cluster.run(500)
            val results = outcomes.map { (it as ProposalOutcome.Committed).result }
            assertEquals(listOf<CommandResult>(CommandResult.Published(1)), results)
            assertEquals(listOf(1L, 1L, 1L), cluster.nodes.values.map { it.raft?.state?.revision })
        }

        /** Guards against a sync for each command, which would limit the rate of claims to that of disk syncs. */
        @Test
        fun `commands that arrive during a write share the next write`() {
            val cluster = settled()
            val writes = mutableListOf<Int>()
            val leader = cluster.leading
            cluster.onOutput =
                { node, it -> if (node == leader && it is RaftOutput.Write) writes += it.write.entries.size }
            repeat(50) { cluster.propose(leader, Command.Noop) }
            cluster.run(100)
            assertEquals(listOf(1, 49), writes)
        }
    }

    @Nested
    inner class Answers {
        /** Guards against "not run" for a command that is committed later, and against an unnecessary "unknown". */
        @Test
        fun `an answer says whether the command can be in a log`() {
            val cluster = settled()
            cluster.publish(at = cluster.followers.first())
            assertEquals<List<ProposalOutcome>>(listOf(ProposalOutcome.NotLeader(cluster.leading.member)), outcomes)
            val leader = cluster.leading
            cluster.isolate(leader)
            repeat(2) { cluster.publish(at = leader, base = it.toLong()) }
            cluster.run(2_000)
            // The first was written at once. The second was written and sent only after that write had finished.
            assertTrue(outcomes.drop(1).all { it is ProposalOutcome.Unknown }, "$outcomes")
            cluster.publish(at = leader)
            assertEquals(ProposalOutcome.NotLeader(null), outcomes.last())
        }

        /** Guards against an unbounded queue while no majority can be reached. */
        @Test
        fun `too many waiting commands are refused`() {
            val cluster = SimCluster(1, timings = RaftTimings(maxPendingProposals = 2))
            assertTrue(cluster.runUntil(3_000) { cluster.isSettled })
            repeat(3) { cluster.publish(base = it.toLong()) }
            assertEquals("store_overloaded", assertIs<ProposalOutcome.Refused>(outcomes.single()).code)
        }
    }

    @Nested
    inner class Leaders {
        /** Guards against elections that miss the target of 1 s, for example because of split votes. */
        @Test
        fun `a lost leader is replaced within a second`() {
            for (seed in 1L..500L) {
                val cluster = settled(seed)
                cluster.run(cluster.random.nextLong(500))
                cluster.leading.kill()
                val lostMs = cluster.timer.nowMs()
                var isCommitted = false
                val isInTime =
                    cluster.runUntil(1_000) {
                        cluster.leader?.let {
                            cluster.propose(it, Command.Noop) { end ->
                                isCommitted =
                                    isCommitted || end is ProposalOutcome.Committed
                            }
                        }
                        isCommitted
                    }
                assertTrue(
                    isInTime,
                    "seed $seed: nothing committed ${cluster.timer.nowMs() - lostMs} ms after the loss",
                )
            }
        }

        /**
         * Guards against a member that deposes a healthy leader, or serves outdated state, when it returns from
         * isolation.
         */
        @Test
        fun `a member that returns from isolation neither deposes the leader nor keeps outdated state`() {
            val cluster = settled()
            val isolated = cluster.followers.first()
            val term = cluster.leading.raft?.term
            cluster.isolate(isolated)
            cluster.run(3_600_000)
            cluster.publish()
            cluster.run(100)
            cluster.network.heal()
            cluster.run(3_000)
            assertEquals(listOf(term, term, term), cluster.nodes.values.map { it.raft?.term })
            assertEquals(1, isolated.raft?.state?.revision)
        }

        /** Guards against a deposed leader that still answers reads, or issues orders, next to its successor. */
        @Test
        fun `an isolated leader stops answering reads before another member can lead`() {
            for (seed in 1L..200L) {
                val cluster = settled(seed)
                val old = cluster.leading
                cluster.isolate(old)
                assertTrue(
                    cluster.runUntil(5_000) {
                        cluster.nodes.values
                            .any { it != old && it.raft?.isLeader == true }
                            .also { if (!it) cluster.run(1) }
                    },
                )
                assertNull(old.raft?.readableState(cluster.timer.nowMs()), "seed $seed")
                cluster.run(1_000)
                assertEquals(false, old.raft?.isLeader)
            }
        }

        /** Guards against a member with a bad link to the leader that deposes it, or breaks its lease. */
        @Test
        fun `votes are refused while the leader may hold a lease, also after a restart`() {
            for (seed in 1L..100L) {
                val cluster = settled(seed)
                val (unreached, other) = cluster.followers
                val leader = cluster.leading
                cluster.network.cut(leader.instance, unreached.instance)
                cluster.run(2_000)
                assertEquals(leader, cluster.leader, "seed $seed")
                cluster.run(cluster.random.nextLong(1_000))
                other.restart()
                repeat(1_000) {
                    cluster.run(1)
                    val serving = cluster.nodes.values.count { it.raft?.readableState(cluster.timer.nowMs()) != null }
                    val leaders = cluster.nodes.values.count { it.raft?.isLeader == true }
                    assertTrue(
                        serving == 0 || leaders == 1,
                        "seed $seed: a member holds a lease although another leads",
                    )
                }
            }
        }

        /** Guards against a leader that prevents an election with its heartbeats although its own disk hangs. */
        @Test
        fun `a leader whose disk hangs steps down`() {
            val cluster = settled()
            val hung = cluster.leading
            hung.isDiskHung = true
            cluster.publish()
            cluster.run(4_000)
            assertNotEquals(hung.instance, cluster.leading.instance)
            assertEquals(
                listOf(false, 1L),
                listOf(
                    hung.raft?.isLeader,
                    cluster.leading.raft
                        ?.state
                        ?.revision,
                ),
            )
        }
    }

    @Nested
    inner class Disks {
        /** Guards against a vote that is lost in a crash, after which the member could vote twice in one term. */
        @Test
        fun `a vote is sent only after it is durable`() {
            val self =
                SimCluster(1)
                    .nodes.values
                    .first()
                    .member
            val candidate = DiskIdentity(InstanceId("b"), "disk-b")
            val node = RaftNode(self, setOf(candidate.instance), RestoredLog(), Random(1), startMs = 0)
            val outputs = node.handle(RaftInput.Received(RaftMessage.VoteRequest(candidate, 1, 0, 0)), 1_000)
            val writes = outputs.map { assertIs<RaftOutput.Write>(it).write }
            assertEquals(HardState(1, candidate), writes.last().hardState)
            assertEquals(emptyList(), node.handle(RaftInput.DiskDone(writes.last().sequence - 1), 1_001))
            val sent = node.handle(RaftInput.DiskDone(writes.last().sequence), 1_002).single()
            assertEquals(RaftOutput.Send(candidate.instance, RaftMessage.VoteReply(self.identity, 1, true)), sent)
        }

        /** Guards against a candidate that loses its own vote in a crash and asks again with a shorter log. */
        @Test
        fun `a candidate requests votes only after its own vote is durable`() {
            val cluster = settled()
            val asked = mutableSetOf<InstanceId>()
            cluster.onOutput = { node, it ->
                if (it is RaftOutput.Write &&
                    it.write.hardState
                        ?.votedFor
                        ?.instance == node.instance
                ) {
                    node.isDiskHung = true
                }
                if (it is RaftOutput.Send && it.message is RaftMessage.VoteRequest) asked += node.instance
            }
            cluster.leading.kill()
            cluster.run(3_000)
            assertEquals(emptySet(), asked)
            assertTrue(cluster.nodes.values.any { it.isDiskHung })
        }

        /** Guards against a vote of a new disk that counts for the wiped disk it replaces, which can lose commits. */
        @Test
        fun `a wiped member does not count towards a majority until it is added`() {
            val cluster = settled()
            val (wiped, killed) = cluster.followers
            wiped.wipe()
            cluster.run(1_000)
            assertEquals(mapOf(wiped.instance to wiped.diskId), cluster.leading.raft?.unknownDisks)
            killed.kill()
            cluster.publish()
            cluster.run(5_000)
            assertNull(cluster.leader)
            assertTrue(outcomes.none { it is ProposalOutcome.Committed })
            killed.start()
            assertTrue(
                cluster.runUntil(10_000) { cluster.readdWipedMember().let { cluster.isSettled } },
                cluster.describe(),
            )
        }

        /** Guards against a second store that a wiped member creates because it starts first. */
        @Test
        fun `a store is created only if the logs of all its members are empty`() {
            val cluster = settled()
            cluster.nodes.values
                .toList()
                .take(2)
                .forEach { it.wipe() }
            cluster.run(10_000)
            assertNull(cluster.leader)
            val incomplete = SimCluster(2)
            incomplete.nodes.getValue(InstanceId("c")).kill()
            incomplete.run(5_000)
            assertNull(incomplete.leader)
        }

        /** Guards against commits or votes that rely on a disk which has not confirmed them. */
        @Test
        fun `nothing is committed while the disks of a majority hang`() {
            val cluster = settled()
            cluster.followers.forEach { it.isDiskHung = true }
            cluster.publish()
            cluster.run(500)
            assertEquals(emptyList(), outcomes)
            cluster.heal()
            cluster.run(2_000)
            assertIs<ProposalOutcome.Committed>(outcomes.single())
        }
    }
}
