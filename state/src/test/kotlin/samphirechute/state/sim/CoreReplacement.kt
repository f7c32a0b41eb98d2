package samphirechute.state.sim

import samphirechute.core.InstanceId
import samphirechute.state.host.MembershipManager
import samphirechute.state.raft.RaftTimings
import samphirechute.state.sim.SimCluster.SimNode

/**
 * Replaces all members of a store one after another by new machines, then cuts the power of all at once, and expects
 * that everything acknowledged is in force afterwards. At most [tolerated] machines count as lost at any time: a machine
 * that was replaced until its successor has run for the time to catch up. Every run with the same seed is identical.
 */
internal class CoreReplacement(
    private val seed: Long,
    private val tolerated: Int,
    timings: RaftTimings,
) {
    private val size = 2 * tolerated + 1
    private val catchUpMs = if (tolerated == 1) 4_000L else 6_000L
    private val cluster = SimCluster(seed, (0 until size).map { "m$it" }, timings) { FileDisk() }
    private val random = cluster.random
    private val managers = HashMap<SimNode, MembershipManager>()
    private val violations = mutableListOf<String>()
    private val events = mutableListOf<String>()
    private val operators = ConfigOperators(cluster, ::contacts, ::report)
    private var nextName = size

    /** The machines that the deployment has, without those that it has removed. */
    private val machines = cluster.nodes.values.toMutableList()

    /** Machines that were removed and still run, or run again. */
    private val removed = mutableListOf<SimNode>()

    /** Those of them that return, or have returned and are voters again, until they are off for good. */
    private val returning = mutableSetOf<SimNode>()

    /** Until when each machine counts as lost. */
    private val lostUntilMs = HashMap<SimNode, Long>()
    private val startedMs = HashMap<SimNode, Long>()
    private val slowWriteMs = listOf(4L, 4L, 30L, 150L).random(random)

    /** Returns the violations found, with the events that led there, or the exception that ended the run. */
    fun run(): List<String> {
        try {
            check(cluster.runUntil(SETTLE_MS) { cluster.isSettled }) { "the store did not start" }
            disturb()
            manage()
            operators.start()
            read()
            cluster.run(random.nextLong(MIN_PAUSE_MS, MAX_PAUSE_MS))
            val isCutShort = random.nextInt(4) == 0
            val old = machines.shuffled(random).let { if (isCutShort) it.take(1 + random.nextInt(size)) else it }
            for ((position, machine) in old.withIndex()) {
                waitUntilBearable()
                replace(machine)
                if (random.nextInt(8) == 0) losePower()
                if (random.nextInt(6) == 0) split()
                if (position < old.size - 1) cluster.run(random.nextLong(MIN_GAP_MS, MAX_GAP_MS))
            }
            if (!isCutShort && random.nextBoolean()) cluster.run(random.nextLong(MAX_QUIET_MS))
            loseAtMoment()
            checkEnd()
            violations += cluster.history.violations(emptyList())
        } catch (e: IllegalStateException) {
            violations += e.stackTraceToString().take(TRACE_CHARS)
        }
        return if (violations.isEmpty()) violations else listOf("seed $seed: ${violations.take(3)} after $events")
    }

    val acknowledgements get() = operators.count

    private fun event(text: String) {
        events += "${cluster.timer.nowMs()} $text"
    }

    private fun report(text: String) {
        violations += "${cluster.timer.nowMs()} $text"
    }

    private fun contacts() = machines + removed

    private fun disturb() {
        cluster.network.lossPercent = random.nextInt(8)
        cluster.network.duplicatePercent = random.nextInt(8)
        cluster.network.maxDelayMs = listOf(3L, 3L, 20L, 60L).random(random)
        cluster.nodes.values.forEach { if (random.nextInt(3) == 0) it.maxWriteMs = slowWriteMs }
    }

    private val lostMachines get() = lostUntilMs.filterValues { it > cluster.timer.nowMs() }.keys + returning

    private fun waitUntilBearable() {
        while (lostMachines.size >= tolerated) cluster.run(100)
    }

    private fun replace(old: SimNode) {
        val isSuccessorFirst = random.nextBoolean()
        val pauseMs = random.nextLong(MIN_PAUSE_MS, MAX_PAUSE_MS)
        if (isSuccessorFirst) {
            val successor = addMachine()
            cluster.run(pauseMs)
            if (random.nextBoolean()) stop(old)
            remove(old)
            count(old, maxOf(cluster.timer.nowMs(), startedMs.getValue(successor) + catchUpMs))
        } else {
            remove(old)
            count(old, Long.MAX_VALUE)
            cluster.run(pauseMs)
            addMachine()
            count(old, cluster.timer.nowMs() + catchUpMs)
        }
    }

    private fun count(
        machine: SimNode,
        untilMs: Long,
    ) {
        lostUntilMs[machine] = untilMs
    }

    /** Takes a machine out: it loses power for good, or wakes up or starts again once it has been replaced. */
    private fun remove(old: SimNode) {
        machines -= old
        val way = random.nextInt(7)
        when (way) {
            0 -> {
                event("${old.instance} is frozen${leads(old)}")
                old.freeze()
                returnLater(old) { old.thaw(isSuspension = random.nextBoolean()) }
            }

            1 -> {
                val isOutgoing = random.nextBoolean()
                event("${old.instance} is cut off one way, outgoing: $isOutgoing${leads(old)}")
                for (other in (cluster.nodes.keys - old.instance)) {
                    if (isOutgoing) {
                        cluster.network.cut(
                            old.instance,
                            other,
                        )
                    } else {
                        cluster.network.cut(other, old.instance)
                    }
                }
                returnLater(old) { healLinks() }
            }

            2 -> {
                event("${old.instance} is off and comes back${leads(old)}")
                old.kill()
                returnLater(old) { old.start() }
            }

            3 -> {
                event("the disk of ${old.instance} hangs${leads(old)}")
                old.isDiskHung = true
                returnLater(old) { old.isDiskHung = false }
            }

            else -> {
                event("${old.instance} is lost for good${leads(old)}")
                discard(old)
            }
        }
    }

    private fun leads(node: SimNode) = if (node.raft?.isLeader == true) ", led" else ""

    /** Lets a removed machine come back for a while; it counts as lost until it is off for good and was removed again. */
    private fun returnLater(
        old: SimNode,
        comeBack: () -> Unit,
    ) {
        removed += old
        returning += old
        cluster.timer.after(random.nextLong(MIN_AWAY_MS, MAX_AWAY_MS)) {
            if (old !in removed) return@after
            event("${old.instance} is back")
            comeBack()
            cluster.timer.after(random.nextLong(MAX_BACK_MS)) {
                if (old !in removed) return@after
                event("${old.instance} is off for good")
                discard(old)
                returning -= old
                count(old, maxOf(lostUntilMs[old] ?: 0, cluster.timer.nowMs() + catchUpMs))
            }
        }
    }

    private fun discard(old: SimNode) {
        removed -= old
        old.kill()
        cluster.nodes -= old.instance
    }

    /** Heals all links, and keeps the loss and delay of the run. */
    private fun healLinks() {
        val network = cluster.network
        val kept = Triple(network.lossPercent, network.duplicatePercent, network.maxDelayMs)
        network.heal()
        network.lossPercent = kept.first
        network.duplicatePercent = kept.second
        network.maxDelayMs = kept.third
    }

    private fun addMachine(): SimNode {
        val instance = InstanceId("m${nextName++}")
        event("$instance starts")
        val seeds = machines.map { it.instance }.toSet() + instance
        val added = cluster.addNode(instance, seeds, canBootstrap = false)
        if (random.nextInt(3) == 0) added.maxWriteMs = slowWriteMs
        machines += added
        startedMs[added] = cluster.timer.nowMs()
        return added
    }

    /** Splits all machines into two halves, which loses nothing. */
    private fun split() {
        waitUntilBearable()
        val all = cluster.nodes.keys.shuffled(random)
        val half = all.take(all.size / 2)
        event("split off: $half")
        for (one in half) {
            for (other in all - half.toSet()) {
                cluster.network.cut(one, other)
                cluster.network.cut(other, one)
            }
        }
        cluster.run(random.nextLong(MAX_SPLIT_MS))
        healLinks()
        event("joined")
        cluster.run(catchUpMs)
    }

    /** Stops a member as a control instance does on a signal. */
    private fun stop(node: SimNode) {
        val raft = node.raft ?: return
        if (managers[node]?.shouldLeave(raft) != true) return
        event("${node.instance} leaves${leads(node)}")
        raft.leave()
        cluster.runUntil(LEAVE_LIMIT_MS) { raft.hasLeft }
    }

    /** Cuts the power right after an acknowledgement, shortly after a version was sent, or at any time. */
    private fun loseAtMoment() {
        var isDue = false
        val arm = { delayMs: Long -> cluster.timer.after(delayMs) { isDue = true } }
        when (random.nextInt(4)) {
            0 -> {
                arm(random.nextLong(2_000))
            }

            1 -> {
                operators.onSent = { arm(random.nextLong(5, 400)) }
            }

            else -> {
                operators.onAcknowledged = { if (random.nextInt(8) == 0) isDue = true }
            }
        }
        val endMs = cluster.timer.nowMs() + MOMENT_LIMIT_MS
        while (!isDue && cluster.timer.nowMs() < endMs) cluster.run(1)
        operators.onSent = {}
        operators.onAcknowledged = {}
        val isDiskLost = random.nextBoolean()
        losePower(if (isDiskLost) tolerated - lostMachines.size else 0)
    }

    /** Cuts the power of all, also of machines that were removed, and starts those that exist with other seeds. */
    private fun losePower(lostDisks: Int = 0) {
        val wiped = machines.shuffled(random).take(maxOf(0, lostDisks))
        event(
            "power lost at ${operators.acknowledged}, disks lost: ${wiped.map { it.instance }}: ${cluster.describe()}",
        )
        for (machine in removed.toList()) {
            discard(machine)
            count(machine, maxOf(lostUntilMs[machine] ?: 0, cluster.timer.nowMs() + catchUpMs))
        }
        healLinks()
        machines.forEach {
            it.canBootstrap = false
            if (it in wiped) it.loseDisk() else it.kill()
        }
        val seeds = machines.map { it.instance }.toSet()
        for (machine in machines.toList()) {
            machine.seeds = seeds
            cluster.timer.after(random.nextLong(MAX_START_MS)) { if (machine.raft == null) machine.start() }
        }
        cluster.run(MAX_START_MS)
        returning.clear()
        machines.forEach { count(it, cluster.timer.nowMs() + catchUpMs) }
    }

    private fun manage() {
        for (node in cluster.nodes.values.toList()) {
            val raft = node.raft ?: continue
            val manager = managers.getOrPut(node) { MembershipManager(size) { cluster.propose(node, it) } }
            if (!node.isFrozen) manager.tick(raft, cluster.timer.nowMs())
        }
        cluster.timer.after(MANAGE_MS, ::manage)
    }

    /** Reads at every member that believes that it leads. */
    private fun read() {
        for (node in cluster.nodes.values) {
            val expected = operators.acknowledged
            if (node.raft?.isLeader == true) cluster.confirmRead(node) { if (it) checkState(node, "read", expected) }
        }
        cluster.timer.after(READ_PAUSE_MS, ::read)
    }

    private fun checkState(
        node: SimNode,
        what: String,
        expected: Long,
    ) {
        val adopted = node.raft?.state?.adopted
        val revision = adopted?.revision ?: 0
        if (revision < expected) report("${node.instance}: $what $revision after $expected was acknowledged")
        if (adopted != null && adopted.content != operators.contentOf(revision)) {
            report("${node.instance}: $what '${adopted.content}' as $revision, not '${operators.contentOf(revision)}'")
        }
    }

    private fun checkEnd() {
        val newest = operators.acknowledged
        cluster.run(RECOVER_MS)
        if (operators.acknowledged <= newest) report("nothing after $newest is accepted: ${cluster.describe()}")
        var isRead = false
        cluster.runUntil(READ_LIMIT_MS) {
            cluster.leader?.let { node -> cluster.confirmRead(node) { isRead = isRead || it } }
            isRead
        }
        if (!isRead) report("the configuration cannot be read: ${cluster.describe()}")
        machines.forEach { checkState(it, "holds", newest) }
    }

    private companion object {
        const val SETTLE_MS = 5_000L

        /** Between a machine's end and the start of its successor, in either order. */
        const val MIN_PAUSE_MS = 500L
        const val MAX_PAUSE_MS = 3_000L
        const val MIN_GAP_MS = 1_500L
        const val MAX_GAP_MS = 10_000L
        const val MAX_QUIET_MS = 20_000L
        const val MIN_AWAY_MS = 1_000L
        const val MAX_AWAY_MS = 9_000L
        const val MAX_BACK_MS = 6_000L
        const val MAX_START_MS = 1_200L
        const val MAX_SPLIT_MS = 5_000L
        const val LEAVE_LIMIT_MS = 2_000L
        const val MANAGE_MS = 100L
        const val READ_PAUSE_MS = 50L
        const val MOMENT_LIMIT_MS = 5_000L

        /** The time within which service must be back, as set by the users' deployments. */
        const val RECOVER_MS = 12_000L
        const val READ_LIMIT_MS = 3_000L
        const val TRACE_CHARS = 900
    }
}
