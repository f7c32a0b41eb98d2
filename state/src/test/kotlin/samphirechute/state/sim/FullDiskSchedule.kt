package samphirechute.state.sim

import samphirechute.state.command.Command
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftTimings
import samphirechute.state.sim.SimCluster.SimNode

/**
 * Fills the disks of a simulated store, never two at once, while configurations change. Nothing restarts a member that
 * has ended. Every run with the same seed is identical.
 */
internal class FullDiskSchedule(
    private val seed: Long,
    members: Int,
) {
    private val cluster = SimCluster(seed, (0 until members).map { "m$it" }, TIMINGS, NEW_DISK)
    private val random = cluster.random
    private val violations = mutableListOf<String>()
    private var proposed = 0L
    private var acknowledged = 0L

    /** Starts the store, executes [run] and returns the violations found, or the exception that ended the run. */
    fun violationsOf(run: FullDiskSchedule.() -> Unit): List<String> {
        try {
            check(cluster.runUntil(ACK_MS) { cluster.isSettled }) { "the store did not start" }
            commit(ACK_MS / 2)
            run()
            cluster.nodes.values
                .mapNotNull { it.stopped }
                .forEach { violations += "a member ended: $it" }
        } catch (e: IllegalStateException) {
            violations += e.stackTraceToString().take(TRACE_CHARS)
        } catch (e: java.io.IOException) {
            violations += e.stackTraceToString().take(TRACE_CHARS)
        }
        return violations.map { "seed $seed: $it" }
    }

    /** Fills the disk of each member for some seconds, in random order. */
    fun fillAll() {
        for (node in cluster.nodes.values.shuffled(random)) {
            fill(node)
            commit(random.nextLong(MIN_FULL_MS, MAX_FULL_MS))
            node.folder?.freeBytes = Long.MAX_VALUE
            commit(random.nextLong(MAX_GAP_MS))
        }
    }

    /** Fills one disk, which stays full. */
    fun fillOne(isLeader: Boolean = random.nextBoolean()) {
        fill(cluster.nodes.values.first { (it == cluster.leader) == isLeader })
        commit(random.nextLong(MAX_FULL_MS))
    }

    private fun fill(node: SimNode) {
        node.folder?.freeBytes = random.nextLong(MAX_FREE_BYTES)
    }

    /** Proposes changes for [durationMs]; some may be refused or stay unanswered. */
    private fun commit(durationMs: Long) {
        val end = cluster.timer.nowMs() + durationMs
        while (cluster.timer.nowMs() < end) {
            propose()
            cluster.run(random.nextLong(1, MAX_PAUSE_MS))
        }
    }

    private fun propose() {
        val at = cluster.leader ?: return
        val revision = ++proposed
        cluster.propose(at, Command.AdoptConfig(revision, "content $revision")) {
            if (it is ProposalOutcome.Committed) acknowledged = maxOf(acknowledged, revision)
        }
    }

    /** Expects that a change sent from now on is accepted in the time that operators are promised. */
    fun expectChange(moment: String) {
        val before = proposed
        val end = cluster.timer.nowMs() + ACK_MS
        while (acknowledged <= before && cluster.timer.nowMs() < end) {
            propose()
            cluster.run(MAX_PAUSE_MS)
        }
        if (acknowledged <= before) violations += "no change $moment: ${cluster.describe()}"
    }

    /** Loses one disk for good while all other members lose power, and reads back. */
    fun loseDiskAndPower() {
        val lost =
            cluster.nodes.values
                .toList()
                .random(random)
        cluster.nodes.values.forEach { if (it == lost) it.loseDisk() else it.kill() }
        cluster.nodes.values.forEach { if (it != lost) it.start() }
        expectRead()
    }

    fun losePower() {
        cluster.nodes.values.forEach { it.kill() }
        cluster.nodes.values.forEach { it.start() }
        expectRead()
    }

    private fun expectRead() {
        val expected = acknowledged
        var found: Long? = null
        cluster.runUntil(RECOVER_MS) {
            cluster.leader?.let { node -> cluster.confirmRead(node) { if (it) found = revisionAt(node) } }
            found != null
        }
        if (found == null || checkNotNull(found) < expected) violations += "$expected was acknowledged, $found is read"
    }

    private fun revisionAt(node: SimNode) =
        node.raft
            ?.state
            ?.adopted
            ?.revision ?: 0

    /** Restarts a follower while its disk is full, and expects that it holds everything once there is room. */
    fun startOnFullDisk(isWiped: Boolean) {
        val node = cluster.nodes.values.first { it != cluster.leader }
        if (isWiped) node.loseDisk() else node.kill()
        node.folder?.freeBytes = 0
        node.start()
        commit(MAX_FULL_MS)
        node.folder?.freeBytes = Long.MAX_VALUE
        val newest = acknowledged
        val isBack =
            cluster.runUntil(ACK_MS) {
                if (isWiped) cluster.readdWipedMember()
                node.raft?.isVoter == true && revisionAt(node) >= newest
            }
        if (!isBack) violations += "the member is not back: ${cluster.describe()}"
        if (isBack) commit(MAX_GAP_MS)
    }

    internal companion object {
        /** The time within which a change must be acknowledged, as set by the users' deployments. */
        const val ACK_MS = 4_000L
        private const val RECOVER_MS = 12_000L
        private const val MIN_FULL_MS = 2_000L
        private const val MAX_FULL_MS = 5_000L
        private const val MAX_GAP_MS = 1_500L
        private const val MAX_PAUSE_MS = 150L
        private const val MAX_FREE_BYTES = 600L
        private const val TRACE_CHARS = 900

        /** Snapshots are frequent, so that disks also fill in the middle of one. */
        val TIMINGS = RaftTimings(hasLeaseReads = false, snapshotEntries = 12, trailingEntries = 6)
        val NEW_DISK = ::FileDisk

        fun commitFor(
            cluster: SimCluster,
            durationMs: Long,
            contentBytes: Int = 10,
        ) {
            val end = cluster.timer.nowMs() + durationMs
            var revision = 0L
            while (cluster.timer.nowMs() < end) {
                cluster.leader?.let { cluster.propose(it, Command.AdoptConfig(++revision, "c".repeat(contentBytes))) }
                cluster.run(MAX_PAUSE_MS)
            }
        }
    }
}
