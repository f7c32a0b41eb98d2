package samphirechute.state.host

import org.junit.jupiter.api.Nested
import samphirechute.core.InstanceId
import samphirechute.state.command.Command
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.sim.SimCluster
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MembershipManagerSpec {
    /** A simulated store whose leader runs a [MembershipManager]. */
    private class ManagedStore(
        names: List<String>,
        private val minMembers: Int = 3,
    ) {
        val cluster = SimCluster(seed = 11, names = names)

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

        fun followers() = cluster.nodes.values.filter { it != cluster.leader && it.raft != null }

        fun canCommit(): Boolean {
            var isCommitted = false
            val hasLeader = cluster.runUntil(ELECTION_LIMIT_MS) { cluster.leader?.raft?.isLeader == true }
            val leading = cluster.leader
            if (!hasLeader || leading == null) return false
            val command = Command.AdoptConfig(1, "{}")
            cluster.propose(leading, command) { isCommitted = it is ProposalOutcome.Committed }
            return cluster.runUntil(ELECTION_LIMIT_MS) { isCommitted }
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

        /** Longer than the time after which an unresponsive member may be removed. */
        const val UNRESPONSIVE_MS = 4_000L

        /** The time within which the store must recover once all members are running again. */
        const val RECOVERY_LIMIT_MS = 15_000L
    }
}
