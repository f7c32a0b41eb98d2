package samphirechute.state.sim

import samphirechute.core.InstanceId
import samphirechute.state.command.Command
import samphirechute.state.host.MembershipManager
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftTimings

/**
 * Runs a store whose members are added and removed automatically through losses that follow each other as soon as a
 * deployment allows it: a machine counts as lost until it has been back for the time to catch up, and at most [tolerated]
 * are lost at the same time. A machine that is replaced as planned does not count from the time to catch up after its
 * successor's start. Every run with the same seed is identical.
 *
 * With [losesDisksAtOnce], the next disks are lost at the moment of a removal, and all other machines may lose power with
 * them. Two machines that end for good follow each other by [DETECTION_MS] also then: two silent voters of four cannot be
 * told from the other half of a split.
 */
internal class MembershipSchedule(
    private val seed: Long,
    private val tolerated: Int,
    private val losesDisksAtOnce: Boolean = false,
) {
    private val timings =
        RaftTimings(hasLeaseReads = false, catchUpEntries = 2, maxBatchEntries = 4, maxInFlightEntries = 4)
    private val minMembers = 2 * tolerated + 1
    private val catchUpMs = if (tolerated == 1) 4_000L else 6_000L
    private val cluster = SimCluster(seed, (0 until minMembers).map { "m$it" }, timings)
    private val random = cluster.random
    private val managers = HashMap<SimCluster.SimNode, MembershipManager>()
    private val violations = mutableListOf<String>()
    private val events = mutableListOf<String>()
    private var acknowledged = 0L
    private var proposed = 0L
    private var nextName = minMembers

    /** When a machine that another one had replaced was last removed without a signal. */
    private var removedMs = Long.MIN_VALUE / 2

    /** Returns the violations found, with the events that led there, or the exception that ended the run. */
    fun run(): List<String> {
        try {
            if (!cluster.runUntil(SETTLE_MS) { cluster.isSettled }) return listOf("seed $seed: the store did not start")
            manage()
            write()
            read()
            repeat(STEPS) { step() }
            checkEnd()
        } catch (e: IllegalStateException) {
            violations += e.stackTraceToString().take(TRACE_CHARS)
        }
        return if (violations.isEmpty()) violations else listOf("seed $seed: $violations after $events")
    }

    private fun step() {
        when (random.nextInt(EVENTS)) {
            0, 1 -> loseDisks()
            2 -> freeze()
            3 -> cut()
            4 -> restart()
            5 -> replaceAsPlanned(isAnnounced = true)
            6 -> replaceAsPlanned(isAnnounced = false)
            7 -> replaceLost()
            8 -> split()
            else -> addMachine()
        }
    }

    private fun event(text: String) {
        events += "${cluster.timer.nowMs()} $text"
    }

    private fun someMachines() =
        cluster.nodes.values
            .shuffled(random)
            .take(1 + random.nextInt(tolerated))

    /** A machine may lose its disk again while it is still counted as lost. */
    private fun loseDisks() {
        val lost = someMachines()
        val isPowerLost = losesDisksAtOnce && random.nextInt(3) == 0
        repeat(1 + random.nextInt(MAX_REPEATS)) {
            event("disks lost: ${lost.map { it.instance }}, power lost: $isPowerLost")
            lost.forEach { it.loseDisk() }
            val off = if (isPowerLost) cluster.nodes.values - lost.toSet() else emptyList()
            off.forEach { it.kill() }
            cluster.run(random.nextLong(MIN_DOWN_MS, MAX_DOWN_MS))
            (lost + off).forEach { start(it) }
            cluster.run(random.nextLong(MAX_JOINING_MS))
        }
        cluster.run(catchUpMs)
    }

    private fun freeze() {
        val frozen = someMachines()
        val isSuspension = random.nextBoolean()
        event("frozen: ${frozen.map { it.instance }}, suspended: $isSuspension")
        frozen.forEach { it.freeze() }
        cluster.run(random.nextLong(MAX_TROUBLE_MS))
        frozen.forEach { it.thaw(isSuspension) }
        event("awake")
        cluster.run(catchUpMs)
    }

    private fun cut() {
        val cut = someMachines().map { it.instance }
        val isOneWay = random.nextBoolean()
        val isOutgoing = random.nextBoolean()
        event("cut off: $cut, one way: $isOneWay, outgoing: $isOutgoing")
        val others = cluster.nodes.keys - cut.toSet()
        for (one in cut) {
            for (other in others) {
                if (!isOneWay || isOutgoing) cluster.network.cut(one, other)
                if (!isOneWay || !isOutgoing) cluster.network.cut(other, one)
            }
        }
        cluster.run(random.nextLong(MAX_TROUBLE_MS))
        cluster.network.heal()
        event("joined")
        cluster.run(catchUpMs)
    }

    /** All machines are split into two halves, which loses nothing. */
    private fun split() {
        val machines = cluster.nodes.keys.shuffled(random)
        val half = machines.take(machines.size / 2)
        event("split off: $half")
        half.forEach { one ->
            (machines - half.toSet()).forEach { other ->
                cluster.network.cut(one, other)
                cluster.network.cut(other, one)
            }
        }
        cluster.run(random.nextLong(MAX_TROUBLE_MS))
        cluster.network.heal()
        event("joined")
        cluster.run(catchUpMs)
    }

    private fun restart() {
        val restarted = if (random.nextBoolean()) cluster.nodes.values.toList() else someMachines()
        event("killed: ${restarted.map { it.instance }}")
        restarted.forEach { it.kill() }
        cluster.run(random.nextLong(MIN_DOWN_MS, MAX_DOWN_MS))
        restarted.forEach { start(it) }
        cluster.run(catchUpMs)
    }

    /** Adds a machine, and removes another one once the new one has had the time to catch up. */
    private fun replaceAsPlanned(isAnnounced: Boolean) {
        val old =
            cluster.nodes.values
                .toList()
                .random(random)
        val hasSuccessor = addMachine()
        if (!hasSuccessor) awaitDetection()
        if (isAnnounced) stop(old)
        event("removed ${old.instance}, announced: $isAnnounced")
        old.kill()
        cluster.nodes -= old.instance
        if (isAnnounced) return
        removedMs = cluster.timer.nowMs()
        if (!losesDisksAtOnce || !hasSuccessor) awaitDetection()
    }

    private fun awaitDetection() {
        val remainingMs = removedMs + DETECTION_MS - cluster.timer.nowMs()
        if (remainingMs > 0) cluster.run(remainingMs)
    }

    /** Stops a member as a control instance does on a signal. */
    private fun stop(node: SimCluster.SimNode) {
        val raft = node.raft ?: return
        if (managers[node]?.shouldLeave(raft) != true) return
        raft.leave()
        cluster.runUntil(LEAVE_LIMIT_MS) { raft.hasLeft }
    }

    private fun replaceLost() {
        awaitDetection()
        val lost =
            cluster.nodes.values
                .toList()
                .random(random)
        event("lost for good: ${lost.instance}")
        lost.kill()
        cluster.nodes -= lost.instance
        cluster.run(random.nextLong(MAX_TROUBLE_MS))
        addMachine()
    }

    /** Returns false if there are machines enough. */
    private fun addMachine(): Boolean {
        if (cluster.nodes.size > minMembers + 2) return false
        val instance = InstanceId("m${nextName++}")
        event("added $instance")
        val seeds = currentSeeds()
        cluster.addNode(instance, seeds, canBootstrap = false)
        cluster.run(catchUpMs)
        return true
    }

    /**
     * A machine starts with the settings in effect at that moment, which name some of the machines that there are. After
     * the first start of the whole system they allow no member to found a store.
     */
    private fun start(node: SimCluster.SimNode) {
        node.seeds = currentSeeds()
        node.canBootstrap = false
        node.start()
    }

    private fun currentSeeds() =
        cluster.nodes.keys
            .shuffled(random)
            .take(SEEDS)
            .toSet()

    private fun manage() {
        for (node in cluster.nodes.values) {
            val raft = node.raft ?: continue
            val manager = managers.getOrPut(node) { MembershipManager(minMembers) { cluster.propose(node, it) } }
            if (!node.isFrozen) manager.tick(raft, cluster.timer.nowMs())
        }
        cluster.timer.after(MANAGE_MS, ::manage)
    }

    private fun write() {
        cluster.leader?.let { adopt(it, ++proposed) }
        cluster.timer.after(random.nextLong(MAX_WRITE_PAUSE_MS), ::write)
    }

    private fun adopt(
        at: SimCluster.SimNode,
        revision: Long,
    ) = cluster.propose(at, Command.AdoptConfig(revision, "content $revision")) {
        if (it is ProposalOutcome.Committed) acknowledged = maxOf(acknowledged, revision)
    }

    /** Reads at every member; a confirmed read must show what was acknowledged before it was asked for. */
    private fun read() {
        for (node in cluster.nodes.values) {
            val expected = acknowledged
            if (node.raft?.isLeader == true) cluster.confirmRead(node) { if (it) checkRead(node, expected) }
        }
        cluster.timer.after(READ_PAUSE_MS, ::read)
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

    private fun checkEnd() {
        val newest = acknowledged
        cluster.run(RECOVER_MS)
        if (acknowledged == newest) violations += "no configuration after $newest was accepted: ${cluster.describe()}"
        var isRead = false
        cluster.runUntil(READ_LIMIT_MS) {
            cluster.leader?.let { node -> cluster.confirmRead(node) { isRead = isRead || it } }
            isRead
        }
        if (!isRead) violations += "the configuration cannot be read: ${cluster.describe()}"
        violations += cluster.history.violations(emptyList())
    }

    private companion object {
        const val STEPS = 8
        const val SEEDS = 3
        const val EVENTS = 10
        const val SETTLE_MS = 5_000L
        const val MIN_DOWN_MS = 100L
        const val MAX_DOWN_MS = 3_000L
        const val MAX_JOINING_MS = 1_500L
        const val MAX_REPEATS = 3
        const val MAX_TROUBLE_MS = 8_000L

        /** From the end of a machine that was removed without a signal to the next loss. */
        const val DETECTION_MS = 1_000L
        const val LEAVE_LIMIT_MS = 2_000L
        const val MANAGE_MS = 100L
        const val MAX_WRITE_PAUSE_MS = 300L
        const val READ_PAUSE_MS = 50L

        /** The time within which service must be back, as set by the users' deployments. */
        const val RECOVER_MS = 12_000L
        const val READ_LIMIT_MS = 3_000L
        const val TRACE_CHARS = 900
    }
}
