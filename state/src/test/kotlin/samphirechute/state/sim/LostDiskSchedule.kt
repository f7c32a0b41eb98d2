package samphirechute.state.sim

import samphirechute.core.InstanceId
import samphirechute.state.command.Command
import samphirechute.state.host.MembershipManager
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftTimings

/**
 * Runs a store through more losses than any deployment tolerates, without a pause: lost disks, removals, freezes, cuts,
 * lost power, and messages that are lost, late or sent twice. Such a store may stop, but it never has two leaders in one
 * term, never forgets what it acknowledged and never confirms an older state. Every run with the same seed is identical.
 */
internal class LostDiskSchedule(
    private val seed: Long,
    size: Int,
) {
    private val timings =
        RaftTimings(
            hasLeaseReads = false,
            catchUpEntries = 2,
            maxBatchEntries = 4,
            maxInFlightEntries = 4,
            snapshotEntries = 12,
            trailingEntries = 6,
        )
    private val minMembers = size - 1 - size % 2
    private val cluster = SimCluster(seed, (0 until size).map { "m$it" }, timings)
    private val random = cluster.random
    private val managers = HashMap<SimCluster.SimNode, MembershipManager>()
    private val violations = LinkedHashSet<String>()
    private val events = mutableListOf<String>()
    private val leaders = HashMap<Long, InstanceId>()
    private var acknowledged = 0L
    private var proposed = 0L
    private var nextName = size

    /** The elections that were won with half of the voters, of which the disk of one was known to be lost. */
    var halfElections = 0
        private set

    /** Returns the violations found, with the events that led there, or the exception that ended the run. */
    fun run(): List<String> {
        try {
            if (!cluster.runUntil(SETTLE_MS) { cluster.isSettled }) return listOf("seed $seed: the store did not start")
            cluster.nodes.values.forEach { it.canBootstrap = false }
            manage()
            repeat(STEPS) {
                step()
                val endMs = cluster.timer.nowMs() + random.nextLong(MAX_STEP_MS)
                while (cluster.timer.nowMs() < endMs) observe()
            }
            cluster.nodes.values.forEach { it.thaw(isSuspension = false) }
            cluster.heal()
            repeat(SETTLE_STEPS) { observe() }
            violations += cluster.history.violations(emptyList())
        } catch (e: IllegalStateException) {
            violations += e.stackTraceToString().take(TRACE_CHARS)
        }
        return if (violations.isEmpty()) emptyList() else listOf("seed $seed: ${violations.take(3)} after $events")
    }

    private fun step() {
        val node =
            cluster.nodes.values
                .toList()
                .random(random)
        when (random.nextInt(EVENTS)) {
            0, 1, 2 -> event("disk of ${node.instance} lost") { node.wipe() }
            3 -> event("${node.instance} off") { node.kill() }
            4, 5 -> event("all that are off start") { startAll() }
            6 -> event("${node.instance} frozen") { node.freeze() }
            7 -> event("all awake") { cluster.nodes.values.forEach { it.thaw(random.nextBoolean()) } }
            8 -> event("${node.instance} cut off") { cluster.network.isolate(node.instance, cluster.nodes.keys) }
            9 -> event("split") { split() }
            10, 11 -> event("joined") { cluster.network.heal() }
            12 -> event("lossy links") { disturb() }
            13 -> event("power lost") { cluster.nodes.values.forEach { it.restart() } }
            else -> event("replaced: ${node.instance}") { replace(node) }
        }
    }

    private fun event(
        text: String,
        action: () -> Unit,
    ) {
        events += "${cluster.timer.nowMs()} $text"
        action()
    }

    private fun startAll() = cluster.nodes.values.forEach { if (it.raft == null) it.start() }

    private fun split() {
        val machines = cluster.nodes.keys.shuffled(random)
        val half = machines.take(machines.size / 2)
        half.forEach { cluster.network.isolate(it, machines - half.toSet() + it) }
    }

    private fun disturb() {
        cluster.network.lossPercent = random.nextInt(20)
        cluster.network.duplicatePercent = random.nextInt(20)
        cluster.network.maxDelayMs = random.nextLong(3, MAX_DELAY_MS)
    }

    private fun replace(old: SimCluster.SimNode) {
        val seeds = cluster.nodes.keys.toSet()
        if (cluster.nodes.size > minMembers) {
            old.kill()
            cluster.nodes -= old.instance
        }
        cluster.addNode(InstanceId("m${nextName++}"), seeds, canBootstrap = false)
    }

    private fun observe() {
        cluster.run(OBSERVE_MS)
        for (node in cluster.nodes.values.toList()) {
            val raft = node.raft ?: continue
            if (!raft.isLeader) continue
            val other = leaders.put(raft.term, node.instance)
            if (other == null && raft.lostVoters.isNotEmpty()) halfElections++
            if (other != null && other != node.instance) {
                violations += "two leaders in term ${raft.term}: $other and ${node.instance}"
            }
            if (node.isFrozen) continue
            if (random.nextInt(4) == 0) adopt(node, ++proposed)
            val expected = acknowledged
            cluster.confirmRead(node) { if (it) checkRead(node, expected) }
        }
    }

    private fun adopt(
        at: SimCluster.SimNode,
        revision: Long,
    ) = cluster.propose(at, Command.AdoptConfig(revision, "content $revision")) {
        if (it is ProposalOutcome.Committed) acknowledged = maxOf(acknowledged, revision)
    }

    private fun checkRead(
        node: SimCluster.SimNode,
        expected: Long,
    ) {
        val found =
            node.raft
                ?.state
                ?.adopted
                ?.revision ?: 0
        if (found < expected) violations += "${node.instance} read $found after $expected was acknowledged"
    }

    private fun manage() {
        for (node in cluster.nodes.values.toList()) {
            val raft = node.raft ?: continue
            val manager = managers.getOrPut(node) { MembershipManager(minMembers) { cluster.propose(node, it) } }
            if (!node.isFrozen) manager.tick(raft, cluster.timer.nowMs())
        }
        cluster.timer.after(MANAGE_MS, ::manage)
    }

    private companion object {
        const val STEPS = 40
        const val EVENTS = 16
        const val SETTLE_MS = 5_000L
        const val MAX_STEP_MS = 700L
        const val OBSERVE_MS = 10L
        const val SETTLE_STEPS = 300
        const val MAX_DELAY_MS = 200L
        const val MANAGE_MS = 100L
        const val TRACE_CHARS = 900
    }
}
