package samphirechute.state.sim

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.core.time.VirtualTimer
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftInput
import samphirechute.state.raft.RaftMessage
import samphirechute.state.raft.RaftNode
import samphirechute.state.raft.RaftOutput
import samphirechute.state.raft.RaftTimings
import kotlin.random.Random

/** Members of a store on virtual time, with disks and a network that fail on demand. The seed decides everything. */
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
    private var nextToken = 1L
    private var nextDisk = 1

    /** Sees every output of every member before it takes effect. */
    var onOutput: (SimNode, RaftOutput) -> Unit = { _, _ -> }

    init {
        initialMembers.forEach(::addNode)
    }

    val leader: SimNode? get() = nodes.values.filter { it.raft?.isLeader == true }.maxByOrNull { it.raft?.term ?: 0 }

    fun addNode(instance: InstanceId): SimNode = SimNode(instance).also { nodes[instance] = it }.apply { start() }

    fun propose(
        at: SimNode,
        command: Command,
        then: (ProposalOutcome) -> Unit = {},
    ) {
        val token = nextToken++
        callbacks[token] = then
        at.handle(RaftInput.Propose(token, command))
    }

    /** Runs until [isDone] or [limitMs] have passed; tells which. */
    fun runUntil(
        limitMs: Long,
        isDone: () -> Boolean,
    ): Boolean {
        val end = timer.nowMs() + limitMs
        while (!isDone() && timer.nowMs() < end) timer.advanceBy(STEP_MS)
        return isDone()
    }

    fun run(durationMs: Long) = timer.advanceBy(durationMs)

    /** Brings everything back, and lets the members agree. */
    fun heal() {
        network.heal()
        nodes.values.forEach { node ->
            node.repairDisk()
            node.wallSkewMs = 0
            if (node.raft == null || node.stopped != null) node.restart()
        }
    }

    /** What an operator does after a disk was wiped: adds the new disk under the old name. */
    fun repairWiped() {
        val leading = leader ?: return
        leading.raft?.unknownDisks?.keys?.firstOrNull()?.let { instance ->
            val wiped = nodes.getValue(instance)
            propose(leading, Command.AddMember(OperationId("repair-${wiped.diskId}"), wiped.member))
        }
    }

    val isSettled: Boolean get() {
        val rafts = nodes.values.mapNotNull { it.raft }
        val isWhole = rafts.size == nodes.size && rafts.count { it.isLeader } == 1 && rafts.all { it.isVoter }
        return isWhole && rafts.map { it.commitIndex to it.lastIndex }.toSet().size == 1 &&
            rafts.all { it.commitIndex == it.lastIndex }
    }

    /** True when every member runs on the disk that the leader knows, so that one disk may be lost. */
    val isWhole: Boolean get() {
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
        var disk = newDisk()
        var raft: RaftNode? = null
        var stopped: String? = null
        var wallSkewMs = 0L
        var isDiskBroken = false
        var isDiskHung = false

        /** Power is lost once the member has stopped after a failed write. */
        var isKilledOnStop = false
        val folder get() = (disk as? FileDisk)?.folder
        private var life = 0
        private val writing = ArrayDeque<RaftOutput.Write>()
        val member get() =
            StoreMember(instance, FailureDomain("fd-$instance"), HostPort("127.0.0.1", 1), diskId)

        fun start() {
            val current = ++life
            stopped = null
            raft = RaftNode(member, initialMembers, disk.restore(), Random(random.nextLong()), timer.nowMs(), timings)
            tickWhile(current)
        }

        fun kill() {
            life++
            raft = null
            disk.crash(writing.map { it.write }, random)
            writing.clear()
        }

        fun restart() {
            kill()
            start()
        }

        fun wipe() {
            kill()
            disk = newDisk()
            diskId = "disk-${nextDisk++}"
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
            val current = life
            val outputs = raft?.handle(input, timer.nowMs()) ?: return
            for (output in outputs) {
                onOutput(this, output)
                if (life != current) return
                execute(output)
            }
        }

        private fun execute(output: RaftOutput) {
            when (output) {
                is RaftOutput.Send -> network.send(instance, output.to, output.message)
                is RaftOutput.Write -> write(output)
                is RaftOutput.Answer -> answer(output)
                is RaftOutput.Stopped -> stop(output.reason)
                is RaftOutput.LeadershipGained -> history.led(instance, output.term)
                is RaftOutput.Apply -> output.entries.forEach { history.applied(instance, life, it) }
                is RaftOutput.SnapshotInstalled -> history.installed(instance, life, output.state)
                is RaftOutput.LeadershipLost -> Unit
                is RaftOutput.Campaigning -> Unit
                is RaftOutput.ReadChecked -> Unit
            }
        }

        private fun stop(reason: String) {
            stopped = reason
            if (isKilledOnStop) kill()
        }

        private fun answer(output: RaftOutput.Answer) {
            history.answered(output.outcome)
            callbacks.remove(output.token)?.invoke(output.outcome)
        }

        private fun write(output: RaftOutput.Write) {
            writing += output
            if (writing.size == 1) scheduleWrite()
        }

        private fun scheduleWrite() {
            val current = life
            timer.after(1 + random.nextLong(MAX_WRITE_MS)) { if (life == current) finishWrite() }
        }

        private fun finishWrite() {
            if (isDiskHung) return scheduleWrite()
            val first = writing.first().write
            val input =
                try {
                    if (isDiskBroken) throw java.io.IOException("no space left on device")
                    disk.write(first)
                    RaftInput.DiskDone(first.sequence)
                } catch (e: java.io.IOException) {
                    RaftInput.DiskFailed(e.message.orEmpty())
                }
            writing.removeFirst()
            if (writing.isNotEmpty()) scheduleWrite()
            handle(input)
        }

        private fun tickWhile(current: Int) {
            if (life != current) return
            handle(RaftInput.Tick(START_WALL_MS + timer.nowMs() + wallSkewMs))
            if (life == current) timer.after(TICK_MS) { tickWhile(current) }
        }
    }

    internal companion object {
        const val START_WALL_MS = 1_800_000_000_000
        private const val TICK_MS = 20L
        private const val STEP_MS = 10L
        private const val MAX_WRITE_MS = 4L
    }
}
