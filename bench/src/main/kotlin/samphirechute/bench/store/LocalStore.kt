package samphirechute.bench.store

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember
import samphirechute.state.disk.DiskThread
import samphirechute.state.disk.NioFolder
import samphirechute.state.disk.StoreDisk
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftInput
import samphirechute.state.raft.RaftNode
import samphirechute.state.raft.RaftOutput
import samphirechute.state.raft.RaftTimings
import java.nio.file.Path
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Three members in one process: one loop for all of them, direct calls between them, real time, and real files with
 * a disk thread each below [root].
 */
internal class LocalStore(
    private val root: Path,
    private val random: Random,
    private val timings: RaftTimings = RaftTimings(),
) : AutoCloseable {
    private val inbox = LinkedBlockingQueue<() -> Unit>()
    private val names = listOf("a", "b", "c").map(::InstanceId)
    private val nodes = names.associateWith { Node(it) }
    private val callbacks = HashMap<Long, (ProposalOutcome) -> Unit>()
    private var nextToken = 1L
    private var lastTickMs = 0L

    val leader: Node? get() = nodes.values.filter { it.raft?.isLeader == true }.maxByOrNull { it.raft?.term ?: 0 }
    val all: Collection<Node> get() = nodes.values

    /** Runs the loop until [isDone]; fails after [limitMs]. */
    fun runUntil(
        limitMs: Long,
        isDone: () -> Boolean,
    ) {
        val end = nowMs() + limitMs
        while (!isDone()) {
            check(nowMs() < end) { "not done within $limitMs ms" }
            inbox.poll(1, TimeUnit.MILLISECONDS)?.invoke()
            if (nowMs() - lastTickMs >= TICK_MS) {
                lastTickMs = nowMs()
                nodes.values.forEach { it.handle(RaftInput.Tick(System.currentTimeMillis())) }
            }
        }
    }

    fun start() {
        nodes.values.forEach { it.start() }
        runUntil(START_LIMIT_MS) { leader?.raft?.readableState(nowMs()) != null }
    }

    fun propose(
        at: Node,
        command: Command,
        then: (ProposalOutcome) -> Unit,
    ) {
        val token = nextToken++
        callbacks[token] = then
        at.handle(RaftInput.Propose(token, command))
    }

    override fun close() = nodes.values.forEach { it.kill() }

    internal inner class Node(
        val instance: InstanceId,
    ) {
        var raft: RaftNode? = null
        private var disk: DiskThread? = null
        private var life = 0
        private var folder = root.resolve(instance.value)
        lateinit var member: StoreMember
        val isRunning get() = raft != null

        fun start() {
            val current = ++life
            val storeDisk = StoreDisk.open(NioFolder(folder)) { "disk-${random.nextLong().toULong()}" }
            member = StoreMember(instance, FailureDomain("fd-$instance"), HostPort("127.0.0.1", 1), storeDisk.diskId)
            raft = RaftNode(member, names.toSet(), storeDisk.restored, Random(random.nextLong()), nowMs(), timings)
            disk = DiskThread(storeDisk) { result -> inbox.put { if (life == current) handle(result) } }
        }

        /** Stops the member as a killed process would; its disk finishes only what it was given. */
        fun kill() {
            life++
            raft = null
            disk?.close()
            disk = null
        }

        fun wipe() {
            kill()
            folder = root.resolve("$instance-$life")
            start()
        }

        fun handle(input: RaftInput) {
            raft?.handle(input, nowMs())?.forEach(::execute)
        }

        private fun execute(output: RaftOutput) {
            when (output) {
                is RaftOutput.Send -> inbox.put { nodes.getValue(output.to).handle(RaftInput.Received(output.message)) }
                is RaftOutput.Write -> disk?.submit(output.write)
                is RaftOutput.Answer -> callbacks.remove(output.token)?.invoke(output.outcome)
                is RaftOutput.Stopped -> error("member $instance stopped: ${output.reason}")
                else -> Unit
            }
        }
    }

    internal companion object {
        private const val TICK_MS = 20L
        private const val START_LIMIT_MS = 30_000L

        fun nowMs() = System.nanoTime() / 1_000_000
    }
}
