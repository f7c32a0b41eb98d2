package samphirechute.state.raft

import org.junit.jupiter.api.Nested
import samphirechute.state.sim.FullDiskSchedule
import samphirechute.state.sim.FullDiskSchedule.Companion.ACK_MS
import samphirechute.state.sim.SimCluster
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FullDiskSpec {
    private fun failures(
        members: Int,
        run: FullDiskSchedule.() -> Unit,
    ): List<String> = (1L..SEEDS).flatMap { seed -> FullDiskSchedule(seed, members).violationsOf(run) }

    @Nested
    inner class OneAfterAnother {
        /** Guards against changes that stay unanswered after the last of the disks has room again, and ended members. */
        @Test
        fun `changes are accepted again when the last full disk has room`() {
            for (members in listOf(3, 5)) {
                val failed =
                    failures(members) {
                        fillAll()
                        expectChange("after the last disk had room")
                    }
                assertEquals(emptyList(), failed.take(3), "$members members: ${failed.size} violations")
            }
        }

        /** Guards against an acknowledgement that relied on a full disk: the next loss takes a disk and all power. */
        @Test
        fun `what was acknowledged survives a lost disk and a power loss of all other members`() {
            for (members in listOf(3, 5)) {
                val failed =
                    failures(members) {
                        fillAll()
                        expectChange("after the last disk had room")
                        loseDiskAndPower()
                    }
                assertEquals(emptyList(), failed.take(3), "$members members: ${failed.size} violations")
            }
        }

        /** Guards against a follower that acknowledges from memory what its full disk did not take. */
        @Test
        fun `what was acknowledged while a disk was full survives a power loss of all members at that moment`() {
            val failed =
                failures(3) {
                    fillOne()
                    losePower()
                }
            assertEquals(emptyList(), failed.take(3), "${failed.size} violations")
        }
    }

    @Nested
    inner class OneAlone {
        /** Guards against a leader that keeps the lead by heartbeats while its disk takes nothing. */
        @Test
        fun `changes are accepted while one disk is full`() {
            for (isLeader in listOf(true, false)) {
                val failed =
                    failures(3) {
                        fillOne(isLeader)
                        expectChange("while a disk was full, the leader's: $isLeader")
                    }
                assertEquals(emptyList(), failed.take(3), "${failed.size} violations")
            }
        }

        /** Guards against a member that ends, or never returns, because its disk is full when it starts. */
        @Test
        fun `a member that starts while its disk is full takes part once there is room`() {
            for (isWiped in listOf(false, true)) {
                val failed = failures(3) { startOnFullDisk(isWiped) }
                assertEquals(emptyList(), failed.take(3), "wiped: $isWiped, ${failed.size} violations")
            }
        }

        /** Guards against a member that is removed as silent because it waits for room. */
        @Test
        fun `a member whose disk is full for long still answers`() {
            for (isBehind in listOf(false, true)) {
                val cluster = SimCluster(5, timings = FullDiskSchedule.TIMINGS, newDisk = FullDiskSchedule.NEW_DISK)
                assertTrue(cluster.runUntil(ACK_MS) { cluster.isSettled }, cluster.describe())
                val full = cluster.nodes.values.first { it != cluster.leader }
                if (isBehind) full.kill()
                FullDiskSchedule.commitFor(cluster, 10_000)
                full.folder?.freeBytes = 0
                if (isBehind) full.start()
                FullDiskSchedule.commitFor(cluster, 60_000)
                val silent =
                    cluster.leader
                        ?.raft
                        ?.unresponsiveMembers(RaftTimings().voterSilenceMs)
                        .orEmpty()
                assertEquals(emptyList(), silent.map { it.instance }, "behind: $isBehind")
                assertEquals(null, full.stopped)
            }
        }

        /** Guards against a memory that fills while a disk stays full. */
        @Test
        fun `what waits for a full disk is bounded, and sent again once there is room`() {
            val timings = RaftTimings(hasLeaseReads = false, maxRefusedBytes = 20_000, maxBatchBytes = 10_000)
            val cluster = SimCluster(6, timings = timings, newDisk = FullDiskSchedule.NEW_DISK)
            assertTrue(cluster.runUntil(ACK_MS) { cluster.isSettled }, cluster.describe())
            val full = cluster.nodes.values.first { it != cluster.leader }
            full.folder?.freeBytes = 0
            val before = full.raft?.lastIndex ?: 0
            FullDiskSchedule.commitFor(cluster, 60_000, contentBytes = 1_000)
            val taken = (full.raft?.lastIndex ?: 0) - before
            assertTrue(taken <= MAX_TAKEN, "$taken entries of 1 kB wait for the disk")
            full.folder?.freeBytes = Long.MAX_VALUE
            assertTrue(cluster.runUntil(ACK_MS) { cluster.isSettled }, cluster.describe())
        }
    }

    private companion object {
        const val SEEDS = 20L

        /** What may wait, and one more batch, which is taken before the limit is passed. */
        const val MAX_TAKEN = 30
    }
}
