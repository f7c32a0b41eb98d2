package samphirechute.state.sim

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.core.time.VirtualTimer
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember
import samphirechute.state.disk.DiskError
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftInput
import samphirechute.state.raft.RaftMessage
import samphirechute.state.raft.RaftNode
import samphirechute.state.raft.RaftOutput
import samphirechute.state.raft.RaftTimings
import kotlin.random.Random

/**
 * A simulated store on virtual time, with disks and a network that fail on demand. [history] records what the members
 * do and checks it. Every run with the same seed is identical.
 */
internal class SimCluster(
    seed: Long,
    names: List<String> = listOf("a", "b", "c"),
    private val timings: RaftTimings = RaftTimings(),
    private val newDisk: () -> SimDisk = ::ValueDisk,
) {
    val random = Random(seed)
    val timer = VirtualTimer()
    val history = History(timer)
    val network = RaftNetwork(timer, random) { to, message -> nodes[to]?.receive(message) }
    val nodes = linkedMapOf<InstanceId, SimNode>()
    private val initialMembers = names.map(::InstanceId).toSet()
    private val callbacks = mutableMapOf<Long, (ProposalOutcome) -> Unit>()
    private val readCallbacks = mutableMapOf<Long, (Boolean) -> Unit>()
    private var nextToken = 1L
    private var nextDisk = 1

    /** Called with every output of every member before it is executed. */
    var onOutput: (SimNode, RaftOutput) -> Unit = { _, _ -> }

    init {
        initialMembers.forEach(::addNode)
    }

    val leader: SimNode? get() = nodes.values.filter { it.raft?.isLeader == true }.maxByOrNull { it.raft?.term ?: 0 }

    fun addNode(
        instance: InstanceId,
        seeds: Set<InstanceId> = initialMembers,
        canBootstrap: Boolean = true,
    ): SimNode {
        val added = SimNode(instance)
        added.seeds = seeds
        added.canBootstrap = canBootstrap
        nodes[instance] = added
        return added.apply { start() }
    }

    fun propose(
        at: SimNode,
        command: Command,
        then: (ProposalOutcome) -> Unit = {},
    ) {
        val token = nextToken++
        callbacks[token] = then
        at.handle(RaftInput.Propose(token, command))
    }

    /** Asks [at] to confirm that its state is the newest; passes on whether it did, once it has answered. */
    fun confirmRead(
        at: SimNode,
        then: (Boolean) -> Unit,
    ) {
        val token = nextToken++
        readCallbacks[token] = then
        at.handle(RaftInput.ConfirmRead(token))
    }

    /** Runs until [isDone] or until [limitMs] have passed, and returns whether it is done. */
    fun runUntil(
        limitMs: Long,
        isDone: () -> Boolean,
    ): Boolean {
        val end = timer.nowMs() + limitMs
        while (!isDone() && timer.nowMs() < end) timer.advanceBy(STEP_MS)
        return isDone()
    }

    fun run(durationMs: Long) = timer.advanceBy(durationMs)

    /** Repairs the network, disks and clocks and restarts stopped members, so that the members can agree again. */
    fun heal() {
        network.heal()
        nodes.values.forEach { node ->
            node.repairDisk()
            node.wallSkewMs = 0
            if (node.raft == null || node.stopped != null) node.restart()
        }
    }

    /** Adds the new disk of a wiped member under the same name, as an operator does after a lost disk. */
    fun readdWipedMember() {
        val leading = leader ?: return
        leading.raft?.unknownDisks?.keys?.firstOrNull()?.let { instance ->
            val wiped = nodes.getValue(instance)
            propose(leading, Command.AddMember(OperationId("repair-${wiped.diskId}"), wiped.member))
        }
    }

    /** True if one member leads, all are voters, and all have committed the same log. */
    val isSettled: Boolean get() {
        val rafts = nodes.values.mapNotNull { it.raft }
        val isComplete = rafts.size == nodes.size && rafts.count { it.isLeader } == 1 && rafts.all { it.isVoter }
        return isComplete && rafts.map { it.commitIndex to it.lastIndex }.toSet().size == 1 &&
            rafts.all { it.commitIndex == it.lastIndex }
    }

    /** True if every member runs on the disk that is in the membership, so that one disk may be lost. */
    val isFullyReplicated: Boolean get() {
        val members = leader?.raft?.members?.map { it.diskId } ?: return false
        return nodes.values.all {
            it.raft != null && it.stopped == null && it.diskId in members &&
                it.raft?.isVoter == true
        }
    }

    fun describe() =
        nodes.values.joinToString { node ->
            val raft = node.raft
            "${node.instance}/${node.diskId} term=${raft?.term} leads=${raft?.isLeader} votes=${raft?.isVoter} " +
                "commit=${raft?.commitIndex} last=${raft?.lastIndex} members=${raft?.members?.map { it.diskId }}"
        }

    internal inner class SimNode(
        val instance: InstanceId,
    ) {
        var diskId = "disk-${nextDisk++}"

        /** The members that this one is told of when it starts. */
        var seeds = initialMembers

        /** False for a member that may not create the store. */
        var canBootstrap = true

        /** The longest time that a write takes. */
        var maxWriteMs = MAX_WRITE_MS
        var disk = newDisk()
        var raft: RaftNode? = null
        var stopped: String? = null
        var wallSkewMs = 0L
        var isDiskBroken = false
        var isDiskHung = false

        /** Simulates a power loss as soon as a write has failed. */
        var isKilledOnStop = false
        val folder get() = (disk as? FileDisk)?.folder
        private var incarnation = 0
        private val writing = ArrayDeque<RaftOutput.Write>()

        /** When the member was frozen; null while it runs. What arrives meanwhile is handled when it wakes up. */
        private var frozenAtMs: Long? = null
        private val unread = ArrayDeque<RaftInput>()
        private var clockLagMs = 0L
        private val nowMs get() = timer.nowMs() - clockLagMs
        val member get() =
            StoreMember(instance, FailureDomain("fd-$instance"), HostPort("127.0.0.1", 1), diskId)

        fun start() {
            val current = ++incarnation
            stopped = null
            val restored =
                try {
                    disk.restore()
                } catch (_: DiskError.WriteRefused) {
                    return timer.after(RETRY_MS) { if (incarnation == current) start() }.let { }
                }
            raft = RaftNode(member, seeds, restored, Random(random.nextLong()), nowMs, timings, canBootstrap)
            tickWhile(current)
        }

        fun kill() {
            incarnation++
            raft = null
            frozenAtMs = null
            unread.clear()
            disk.crash(writing.map { it.write }, random)
            writing.clear()
        }

        fun restart() {
            kill()
            start()
        }

        val isFrozen get() = frozenAtMs != null

        fun freeze() {
            if (raft != null && frozenAtMs == null) frozenAtMs = timer.nowMs()
        }

        /** Wakes the member up. A machine that was suspended does not count the time on its monotonic clock. */
        fun thaw(isSuspension: Boolean) {
            val sinceMs = frozenAtMs ?: return
            frozenAtMs = null
            if (isSuspension) clockLagMs += timer.nowMs() - sinceMs
            while (unread.isNotEmpty() && raft != null) handle(unread.removeFirst())
        }

        /** Stops the member and replaces its disk with an empty one. */
        fun loseDisk() {
            kill()
            disk = newDisk()
            diskId = "disk-${nextDisk++}"
        }

        fun wipe() {
            loseDisk()
            start()
        }

        fun repairDisk() {
            isDiskBroken = false
            isDiskHung = false
            isKilledOnStop = false
            folder?.failing = null
            folder?.freeBytes = Long.MAX_VALUE
        }

        fun receive(message: RaftMessage) = handle(RaftInput.Received(message))

        fun handle(input: RaftInput) {
            if (frozenAtMs != null) {
                if (input !is RaftInput.Tick) unread += input
                return
            }
            val current = incarnation
            val outputs = raft?.handle(input, nowMs) ?: return
            for (output in outputs) {
                onOutput(this, output)
                if (incarnation != current) return
                execute(output)
            }
        }

        private fun execute(output: RaftOutput) {
            when (output) {
                is RaftOutput.Send -> network.send(instance, output.to, output.message)
                is RaftOutput.Write -> write(output)
                is RaftOutput.Answer -> answer(output)
                is RaftOutput.Stopped -> stop(output.reason)
                is RaftOutput.LeadershipGained -> history.recordLeader(instance, output.term)
                is RaftOutput.Apply -> output.entries.forEach { history.recordApplied(instance, incarnation, it) }
                is RaftOutput.SnapshotInstalled -> history.recordInstalled(instance, incarnation, output.state)
                is RaftOutput.LeadershipLost -> Unit
                is RaftOutput.Campaigning -> Unit
                is RaftOutput.DiskLost -> Unit
                is RaftOutput.AdditionEnded -> Unit
                is RaftOutput.ReadChecked -> readCallbacks.remove(output.token)?.invoke(output.isConfirmed)
            }
        }

        private fun stop(reason: String) {
            stopped = reason
            if (isKilledOnStop) kill()
        }

        private fun answer(output: RaftOutput.Answer) {
            history.recordOutcome(output.outcome)
            callbacks.remove(output.token)?.invoke(output.outcome)
        }

        private fun write(output: RaftOutput.Write) {
            writing += output
            if (writing.size == 1) scheduleWrite()
        }

        private fun scheduleWrite() {
            val current = incarnation
            timer.after(1 + random.nextLong(maxWriteMs)) { if (incarnation == current) finishWrite() }
        }

        private fun finishWrite() {
            if (isDiskHung) return scheduleWrite()
            val first = writing.first().write
            val input =
                try {
                    if (isDiskBroken) throw java.io.IOException("no space left on device")
                    disk.write(first)
                    RaftInput.DiskDone(first.sequence)
                } catch (_: DiskError.WriteRefused) {
                    return refuse()
                } catch (e: java.io.IOException) {
                    RaftInput.DiskFailed(e.message.orEmpty())
                }
            writing.removeFirst()
            if (writing.isNotEmpty()) scheduleWrite()
            handle(input)
        }

        private fun refuse() {
            val current = incarnation
            handle(RaftInput.DiskRefused)
            if (incarnation != current) return
            if (isKilledOnStop) return kill()
            timer.after(RETRY_MS) { if (incarnation == current) finishWrite() }
        }

        private fun tickWhile(current: Int) {
            if (incarnation != current) return
            handle(RaftInput.Tick(START_WALL_MS + timer.nowMs() + wallSkewMs))
            if (incarnation == current) timer.after(TICK_MS) { tickWhile(current) }
        }
    }

    internal companion object {
        const val START_WALL_MS = 1_800_000_000_000
        private const val TICK_MS = 20L
        private const val STEP_MS = 10L
        private const val MAX_WRITE_MS = 4L
        private const val RETRY_MS = 200L
    }
}
