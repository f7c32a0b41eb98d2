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
    /** A store whose leader keeps the membership by itself. */
    private class KeptStore(
        names: List<String>,
        private val minMembers: Int = 3,
    ) {
        val cluster = SimCluster(seed = 11, names = names)

        init {
            keep()
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

        fun commits(): Boolean {
            var isCommitted = false
            val isLed = cluster.runUntil(RECOVER_MS) { cluster.leader?.raft?.isLeader == true }
            val leading = cluster.leader
            if (!isLed || leading == null) return false
            val command = Command.AdoptConfig(1, "{}")
            cluster.propose(leading, command) { isCommitted = it is ProposalOutcome.Committed }
            return cluster.runUntil(RECOVER_MS) { isCommitted }
        }

        private fun keep() {
            val leading = cluster.leader
            val raft = leading?.raft
            if (raft != null) {
                val keeper = MembershipManager(minMembers) { command -> cluster.propose(leading, command) }
                keeper.tick(raft, cluster.timer.nowMs())
            }
            cluster.timer.after(KEEP_MS, ::keep)
        }
    }

    @Nested
    inner class Successors {
        /** Guards against a member that is gone for good and still counts when the next disk is lost. */
        @Test
        fun `count in place of a member that is gone for good`() {
            val store = KeptStore(listOf("a", "b", "c"))
            val gone = store.followers().first()
            gone.kill()
            store.cluster.run(1_000)
            val successor = store.cluster.addNode(InstanceId("d"))
            store.cluster.run(CATCH_UP_MS)
            assertEquals(setOf("a", "b", "c", "d") - gone.instance.value, store.voters, store.cluster.describe())

            val wiped = store.followers().first { it != successor }
            wiped.wipe()
            assertTrue(store.commits(), store.cluster.describe())
        }

        @Test
        fun `let two more be lost of six`() {
            val store = KeptStore(listOf("a", "b", "c", "d", "e", "f"), minMembers = 5)
            val gone = store.followers().take(2)
            gone.forEach { it.kill() }
            store.cluster.addNode(InstanceId("g"))
            store.cluster.addNode(InstanceId("h"))
            store.cluster.run(CATCH_UP_MS)

            store.followers().take(2).forEach { it.kill() }
            assertTrue(store.commits(), store.cluster.describe())
        }
    }

    /** Guards what was acknowledged against the loss of as many disks as five members have to bear, two. */
    @Nested
    inner class FiveMembersThatMayLoseTwoDisks {
        private val names = listOf("a", "b", "c", "d", "e")
        private val pairs = names.flatMapIndexed { index, one -> names.drop(index + 1).map { setOf(one, it) } }

        private fun KeptStore.nodes(names: Set<String>) = names.map { cluster.nodes.getValue(InstanceId(it)) }

        private fun KeptStore.commit(revision: Long): Boolean {
            var isCommitted = false
            val isLed = cluster.runUntil(RECOVER_MS) { cluster.leader?.raft?.isLeader == true }
            if (!isLed) return false
            cluster.propose(checkNotNull(cluster.leader), Command.AdoptConfig(revision, "content $revision")) {
                isCommitted = it is ProposalOutcome.Committed
            }
            return cluster.runUntil(RECOVER_MS) { isCommitted }
        }

        private fun KeptStore.holds(revision: Long): Boolean =
            cluster.runUntil(ALL_BACK_MS) {
                val raft = cluster.leader?.raft
                (raft?.readableState(cluster.timer.nowMs()) ?: raft?.state)?.adopted?.revision == revision
            }

        @Test
        fun `keep five places while two are without power, and lose nothing when two disks go then`() {
            for (off in pairs) {
                for (wiped in pairs) {
                    val store = KeptStore(names, minMembers = 5)
                    store.nodes(off).forEach { it.kill() }
                    store.cluster.run(SILENT_MS)
                    assertTrue(store.commit(7), "$off off: ${store.cluster.describe()}")
                    assertEquals(names.toSet(), store.voters, "$off off")
                    store.nodes(wiped).forEach { it.wipe() }
                    store.cluster.run(500)
                    store.nodes(off - wiped).forEach { it.start() }
                    assertTrue(store.holds(7), "$off off, $wiped wiped: ${store.cluster.describe()}")
                    assertTrue(store.commit(8), "$off off, $wiped wiped: ${store.cluster.describe()}")
                }
            }
        }

        @Test
        fun `lose nothing when one disk was replaced just before two more go`() {
            for (first in names) {
                for (wiped in pairs) {
                    val store = KeptStore(names, minMembers = 5)
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
        fun `lose nothing when a member is replaced by another machine while one is without power`() {
            for (gone in names) {
                for (off in names - gone) {
                    val store = KeptStore(names, minMembers = 5)
                    store.nodes(setOf(gone)).forEach { it.kill() }
                    store.cluster.addNode(InstanceId("f"))
                    store.nodes(setOf(off)).forEach { it.kill() }
                    store.cluster.run(CATCH_UP_MS)
                    assertTrue(store.commit(7), "$gone gone, $off off: ${store.cluster.describe()}")
                    val wiped = (names - gone - off).take(1).toSet()
                    store.nodes(wiped).forEach { it.wipe() }
                    store.nodes(setOf(off)).forEach { it.start() }
                    assertTrue(store.holds(7), "$gone gone, $off off, $wiped wiped: ${store.cluster.describe()}")
                    assertTrue(store.commit(8), "$gone gone, $off off, $wiped wiped: ${store.cluster.describe()}")
                }
            }
        }
    }

    @Nested
    inner class SilentMembers {
        @Test
        fun `keep their place while no other has come`() {
            val store = KeptStore(listOf("a", "b", "c"))
            store.followers().first().kill()
            store.cluster.run(2 * CATCH_UP_MS)
            assertEquals(setOf("a", "b", "c"), store.voters)
        }

        @Test
        fun `that were replaced join again when they come back`() {
            val store = KeptStore(listOf("a", "b", "c"))
            val silent = store.followers().first()
            silent.kill()
            store.cluster.addNode(InstanceId("d"))
            store.cluster.run(CATCH_UP_MS)
            silent.start()
            store.cluster.run(CATCH_UP_MS)
            assertTrue(silent.instance.value in store.voters, store.cluster.describe())
        }
    }

    private companion object {
        const val KEEP_MS = 100L

        /** The time within which a new member has to count, as the users' deployments set it. */
        const val CATCH_UP_MS = 6_000L
        const val RECOVER_MS = 5_000L

        /** Longer than a member may be silent before its place is in question. */
        const val SILENT_MS = 4_000L

        /** The time after which service has to be back once all members are. */
        const val ALL_BACK_MS = 15_000L
    }
}
