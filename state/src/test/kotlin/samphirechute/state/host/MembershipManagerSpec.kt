package samphirechute.state.host

import org.junit.jupiter.api.Nested
import samphirechute.core.InstanceId
import samphirechute.state.command.Command
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftMessage
import samphirechute.state.raft.RaftOutput
import samphirechute.state.raft.RaftTimings
import samphirechute.state.sim.SimCluster
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class MembershipManagerSpec {
    /** A simulated store whose leader runs a [MembershipManager]. */
    private class ManagedStore(
        names: List<String>,
        private val minMembers: Int = 3,
        timings: RaftTimings = RaftTimings(),
    ) {
        val cluster = SimCluster(seed = 11, names = names, timings = timings)

        init {
            runManager()
            assertTrue(cluster.runUntil(3_000) { cluster.isSettled }, cluster.describe())
        }

        val voters get() =
            cluster.leader
                ?.raft
                ?.members
                .orEmpty()
                .map { it.instance.value }
                .toSet()

        /** Ends a member for good, after it has given up its vote if the end is announced. */
        fun remove(
            name: String,
            isAnnounced: Boolean,
        ) {
            val removed = cluster.nodes.getValue(InstanceId(name))
            val raft = checkNotNull(removed.raft)
            if (isAnnounced && MembershipManager(minMembers) {}.shouldLeave(raft)) {
                raft.leave()
                cluster.runUntil(ELECTION_LIMIT_MS) { raft.hasLeft }
            }
            removed.kill()
            cluster.nodes -= removed.instance
        }

        fun followers() = cluster.nodes.values.filter { it != cluster.leader && it.raft != null }

        /** Commits [count] configurations, one after another. */
        fun commitConfigs(count: Int) {
            for (revision in 1L..count) {
                var isCommitted = false
                cluster.propose(checkNotNull(cluster.leader), Command.AdoptConfig(revision, "content $revision")) {
                    isCommitted = it is ProposalOutcome.Committed
                }
                assertTrue(cluster.runUntil(ELECTION_LIMIT_MS) { isCommitted }, cluster.describe())
            }
        }

        fun canCommit(): Boolean {
            var isCommitted = false
            val hasLeader = cluster.runUntil(ELECTION_LIMIT_MS) { cluster.leader?.raft?.isLeader == true }
            val leading = cluster.leader
            if (!hasLeader || leading == null) return false
            val command = Command.AdoptConfig(1, "{}")
            cluster.propose(leading, command) { isCommitted = it is ProposalOutcome.Committed }
            return cluster.runUntil(ELECTION_LIMIT_MS) { isCommitted }
        }

        /** Commits a configuration as an operator does, who sends it again while there is no clear answer. */
        fun canCommitWithResends(): Boolean {
            var isCommitted = false
            var isWaiting = false
            return cluster.runUntil(ELECTION_LIMIT_MS) {
                val leading = cluster.leader
                if (!isWaiting && leading != null) {
                    isWaiting = true
                    cluster.propose(leading, Command.AdoptConfig(1, "{}")) {
                        isCommitted = isCommitted || it is ProposalOutcome.Committed
                        isWaiting = false
                    }
                }
                isCommitted
            }
        }

        private fun runManager() {
            val leading = cluster.leader
            val raft = leading?.raft
            if (raft != null) {
                val manager = MembershipManager(minMembers) { command -> cluster.propose(leading, command) }
                manager.tick(raft, cluster.timer.nowMs())
            }
            cluster.timer.after(TICK_MS, ::runManager)
        }
    }

    @Nested
    inner class Replacements {
        /** Guards against a permanently lost member that still counts as a voter when the next disk is lost. */
        @Test
        fun `a new member replaces a permanently lost one as a voter`() {
            val store = ManagedStore(listOf("a", "b", "c"))
            val lost = store.followers().first()
            lost.kill()
            store.cluster.run(1_000)
            val replacement = store.cluster.addNode(InstanceId("d"))
            store.cluster.run(CATCH_UP_MS)
            assertEquals(setOf("a", "b", "c", "d") - lost.instance.value, store.voters, store.cluster.describe())

            val wiped = store.followers().first { it != replacement }
            wiped.wipe()
            assertTrue(store.canCommit(), store.cluster.describe())
        }

        /** Starts a successor, removes [removed] once it has caught up, and loses the disk of [lost] [pauseMs] later. */
        private fun replaceAndLoseDisk(
            removed: String,
            lost: String,
            pauseMs: Long,
            accepts: ManagedStore.() -> Boolean,
        ) {
            val store = ManagedStore(listOf("a", "b", "c"))
            store.commitConfigs(2)
            store.cluster.addNode(InstanceId("d"))
            store.cluster.run(SMALL_CATCH_UP_MS)
            store.cluster.nodes
                .getValue(InstanceId(removed))
                .kill()
            store.cluster.nodes -= InstanceId(removed)
            store.cluster.run(pauseMs)
            store.cluster.nodes
                .getValue(InstanceId(lost))
                .wipe()
            assertTrue(store.accepts(), "$removed removed, $lost lost after $pauseMs ms: ${store.cluster.describe()}")
            assertEquals(
                2,
                store.cluster.leader
                    ?.raft
                    ?.state
                    ?.adopted
                    ?.revision,
            )
        }

        /** Guards against a replaced member that still counts as a voter when the next disk is lost. */
        @Test
        fun `a member that was removed after its replacement joined no longer counts when a disk is lost soon`() {
            for (removed in listOf("a", "b", "c")) {
                for (lost in listOf("a", "b", "c", "d") - removed) {
                    replaceAndLoseDisk(removed, lost, DOWN_MS) { canCommit() }
                }
            }
        }

        /** Guards against a store that stops for good when the next disk is lost before a removed member is noticed. */
        @Test
        fun `a removed member is no obstacle when a disk is lost at the same moment or soon after`() {
            for (removed in listOf("a", "b", "c")) {
                for (lost in listOf("a", "b", "c", "d") - removed) {
                    for (pauseMs in listOf(0L, 300L, 600L)) {
                        replaceAndLoseDisk(removed, lost, pauseMs) { canCommitWithResends() }
                    }
                }
            }
        }

        /** Guards against members that are gone and count as voters, one beside each replacement. */
        @Test
        fun `members that are replaced one right after the other do not add up`() {
            for (isAnnounced in listOf(true, false)) {
                val store = ManagedStore(listOf("a", "b", "c"))
                store.cluster.addNode(InstanceId("d"))
                store.cluster.run(SMALL_CATCH_UP_MS)
                store.remove("a", isAnnounced = false)
                store.cluster.addNode(InstanceId("e"))
                store.cluster.run(SMALL_CATCH_UP_MS)
                assertEquals(setOf("b", "c", "d", "e"), store.voters, store.cluster.describe())
                store.remove("b", isAnnounced)
                store.cluster.nodes
                    .getValue(InstanceId("c"))
                    .wipe()
                assertTrue(store.canCommitWithResends(), "announced: $isAnnounced: ${store.cluster.describe()}")
            }
        }

        /** Guards against a stopped member that counts as a voter until its silence is noticed. */
        @Test
        fun `a member that stops after its replacement joined gives up its vote, also the leader`() {
            for (removed in listOf("a", "b", "c")) {
                val store = ManagedStore(listOf("a", "b", "c"))
                store.cluster.addNode(InstanceId("d"))
                store.cluster.run(SMALL_CATCH_UP_MS)
                val stopped = store.cluster.nodes.getValue(InstanceId(removed))
                val raft = checkNotNull(stopped.raft)
                raft.leave()
                assertTrue(store.cluster.runUntil(DOWN_MS) { raft.hasLeft }, store.cluster.describe())
                stopped.kill()
                store.cluster.nodes -= stopped.instance
                store.followers().first().wipe()
                assertTrue(store.canCommit(), store.cluster.describe())
                assertFalse(removed in store.voters, store.cluster.describe())
            }
        }

        /** Guards against a member that gives up its vote when it is only restarted and no other can take its place. */
        @Test
        fun `a member of the smallest set keeps its vote when it stops`() {
            val store = ManagedStore(listOf("a", "b", "c"))
            val stopped = store.followers().first()
            checkNotNull(stopped.raft).leave()
            store.cluster.run(SMALL_CATCH_UP_MS)
            assertEquals(setOf("a", "b", "c"), store.voters, store.cluster.describe())
        }

        @Test
        fun `after two of six members are replaced, the store survives the loss of two more`() {
            val store = ManagedStore(listOf("a", "b", "c", "d", "e", "f"), minMembers = 5)
            val lost = store.followers().take(2)
            lost.forEach { it.kill() }
            store.cluster.addNode(InstanceId("g"))
            store.cluster.addNode(InstanceId("h"))
            store.cluster.run(CATCH_UP_MS)

            store.followers().take(2).forEach { it.kill() }
            assertTrue(store.canCommit(), store.cluster.describe())
        }
    }

    /** Guards against the loss of acknowledged entries when two disks are lost, which five members must tolerate. */
    @Nested
    inner class FiveMembersThatMayLoseTwoDisks {
        private val names = listOf("a", "b", "c", "d", "e")
        private val pairs = names.flatMapIndexed { index, one -> names.drop(index + 1).map { setOf(one, it) } }

        private fun ManagedStore.nodes(names: Set<String>) = names.map { cluster.nodes.getValue(InstanceId(it)) }

        private fun ManagedStore.commit(revision: Long): Boolean {
            var isCommitted = false
            val hasLeader = cluster.runUntil(ELECTION_LIMIT_MS) { cluster.leader?.raft?.isLeader == true }
            if (!hasLeader) return false
            cluster.propose(checkNotNull(cluster.leader), Command.AdoptConfig(revision, "content $revision")) {
                isCommitted = it is ProposalOutcome.Committed
            }
            return cluster.runUntil(ELECTION_LIMIT_MS) { isCommitted }
        }

        private fun ManagedStore.holds(revision: Long): Boolean =
            cluster.runUntil(RECOVERY_LIMIT_MS) {
                val raft = cluster.leader?.raft
                (raft?.readableState(cluster.timer.nowMs()) ?: raft?.state)?.adopted?.revision == revision
            }

        @Test
        fun `five members stay voters while two are powered off, and lose nothing when two disks are then wiped`() {
            for (off in pairs) {
                for (wiped in pairs) {
                    val store = ManagedStore(names, minMembers = 5)
                    store.nodes(off).forEach { it.kill() }
                    store.cluster.run(UNRESPONSIVE_MS)
                    assertTrue(store.commit(7), "$off powered off: ${store.cluster.describe()}")
                    assertEquals(names.toSet(), store.voters, "$off powered off")
                    store.nodes(wiped).forEach { it.wipe() }
                    store.cluster.run(500)
                    store.nodes(off - wiped).forEach { it.start() }
                    assertTrue(store.holds(7), "$off powered off, $wiped wiped: ${store.cluster.describe()}")
                    assertTrue(store.commit(8), "$off powered off, $wiped wiped: ${store.cluster.describe()}")
                }
            }
        }

        @Test
        fun `nothing is lost when one disk was replaced just before two more are wiped`() {
            for (first in names) {
                for (wiped in pairs) {
                    val store = ManagedStore(names, minMembers = 5)
                    store.nodes(setOf(first)).forEach { it.wipe() }
                    store.cluster.run(CATCH_UP_MS)
                    assertTrue(store.commit(7), "$first wiped: ${store.cluster.describe()}")
                    store.nodes(wiped).forEach { it.wipe() }
                    assertTrue(store.holds(7), "$first, then $wiped wiped: ${store.cluster.describe()}")
                    assertTrue(store.commit(8), "$first, then $wiped wiped: ${store.cluster.describe()}")
                }
            }
        }

        @Test
        fun `nothing is lost when a new member replaces one while another is powered off`() {
            for (lost in names) {
                for (off in names - lost) {
                    val store = ManagedStore(names, minMembers = 5)
                    store.nodes(setOf(lost)).forEach { it.kill() }
                    store.cluster.addNode(InstanceId("f"))
                    store.nodes(setOf(off)).forEach { it.kill() }
                    store.cluster.run(CATCH_UP_MS)
                    assertTrue(store.commit(7), "$lost lost, $off powered off: ${store.cluster.describe()}")
                    val wiped = (names - lost - off).take(1).toSet()
                    store.nodes(wiped).forEach { it.wipe() }
                    store.nodes(setOf(off)).forEach { it.start() }
                    assertTrue(
                        store.holds(7),
                        "$lost lost, $off powered off, $wiped wiped: ${store.cluster.describe()}",
                    )
                    assertTrue(
                        store.commit(8),
                        "$lost lost, $off powered off, $wiped wiped: ${store.cluster.describe()}",
                    )
                }
            }
        }
    }

    /** Guards against a store that keeps waiting for a disk that was lost while it received the log. */
    @Nested
    inner class LossesWhileJoining {
        private val slowCatchUp = RaftTimings(catchUpEntries = 2, maxBatchEntries = 4, maxInFlightEntries = 4)

        /** Wipes a follower and takes the power away again as soon as it has received a part of the log. */
        private fun ManagedStore.loseDiskWhileJoining(): SimCluster.SimNode {
            commitConfigs(CONFIGS)
            val lost = followers().first()
            lost.wipe()
            assertTrue(cluster.runUntil(CATCH_UP_MS) { (lost.raft?.lastIndex ?: 0) > 0 }, cluster.describe())
            lost.loseDisk()
            return lost
        }

        @Test
        fun `a member that loses its disk again while it joins is a voter before the next disk may be lost`() {
            val store = ManagedStore(listOf("a", "b", "c"), timings = slowCatchUp)
            val lost = store.loseDiskWhileJoining()
            store.cluster.run(DOWN_MS)
            lost.start()
            store.cluster.run(SMALL_CATCH_UP_MS)
            assertTrue(lost.raft?.isVoter == true, store.cluster.describe())

            store.followers().first { it != lost }.wipe()
            assertTrue(store.canCommit(), store.cluster.describe())
        }

        @Test
        fun `a member that is lost while it joins does not hold up another one`() {
            val store = ManagedStore(listOf("a", "b", "c"), timings = slowCatchUp)
            store.loseDiskWhileJoining()
            val added = store.cluster.addNode(InstanceId("d"))
            store.cluster.run(SMALL_CATCH_UP_MS)
            assertTrue(added.raft?.isVoter == true, store.cluster.describe())
        }

        /** Guards against a fourth voter that has never answered, since the loss of one more would then stop the store. */
        @Test
        fun `a member that is lost as soon as it has asked to join does not become a voter`() {
            val store = ManagedStore(listOf("a", "b", "c"))
            val added = store.cluster.addNode(InstanceId("d"))
            store.cluster.onOutput = { node, output ->
                if (node == added && output is RaftOutput.Send &&
                    output.message is RaftMessage.AppendReply
                ) {
                    added.kill()
                }
            }
            val isVoter = store.cluster.runUntil(SMALL_CATCH_UP_MS) { added.instance.value in store.voters }
            assertFalse(isVoter, store.cluster.describe())
        }
    }

    @Nested
    inner class UnresponsiveMembers {
        @Test
        fun `an unresponsive member stays a voter while there is no replacement`() {
            val store = ManagedStore(listOf("a", "b", "c"))
            store.followers().first().kill()
            store.cluster.run(2 * CATCH_UP_MS)
            assertEquals(setOf("a", "b", "c"), store.voters)
        }

        @Test
        fun `a replaced member joins again when it comes back`() {
            val store = ManagedStore(listOf("a", "b", "c"))
            val unresponsive = store.followers().first()
            unresponsive.kill()
            store.cluster.addNode(InstanceId("d"))
            store.cluster.run(CATCH_UP_MS)
            unresponsive.start()
            store.cluster.run(CATCH_UP_MS)
            assertTrue(unresponsive.instance.value in store.voters, store.cluster.describe())
        }
    }

    private companion object {
        const val TICK_MS = 100L

        /** The time within which a new member must become a voter, as set by the users' deployments. */
        const val CATCH_UP_MS = 6_000L
        const val ELECTION_LIMIT_MS = 5_000L

        /** The same time of the deployments that tolerate the loss of one member. */
        const val SMALL_CATCH_UP_MS = 4_000L
        const val DOWN_MS = 1_000L
        const val CONFIGS = 60

        /** Longer than the time after which an unresponsive member may be removed. */
        const val UNRESPONSIVE_MS = 4_000L

        /** The time within which the store must recover once all members are running again. */
        const val RECOVERY_LIMIT_MS = 15_000L
    }
}
