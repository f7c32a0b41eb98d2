package samphirechute.bench.store

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.time.VirtualTimer
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftInput
import samphirechute.state.raft.RaftNode
import samphirechute.state.raft.RaftOutput
import samphirechute.state.raft.RestoredLog
import kotlin.random.Random

/** Three members on virtual time, with 1 to 2 ms between them and 1 to 10 ms for a write. */
internal class VirtualStore(
    private val random: Random,
) {
    private val timer = VirtualTimer()
    private val names = listOf("a", "b", "c").map(::InstanceId)
    private val nodes = LinkedHashMap<InstanceId, RaftNode>()
    private val diskFreeMs = HashMap<InstanceId, Long>()
    private var committed = 0
    private val leader get() = nodes.entries.find { it.value.isLeader }

    /** Kills the leader at a random time; the time until a caller that tries each 5 ms has a command committed. */
    fun leaderLossToCommitMs(): Long {
        names.forEach(::start)
        runUntil { committed > 0 }
        timer.advanceBy(random.nextLong(1_000))
        nodes -= checkNotNull(leader).key
        val lostMs = timer.nowMs()
        committed = 0
        runUntil { committed > 0 }
        return timer.nowMs() - lostMs
    }

    private fun runUntil(isDone: () -> Boolean) {
        while (!isDone()) {
            check(timer.nowMs() < LIMIT_MS) { "nothing was committed within $LIMIT_MS ms" }
            leader?.let { handle(it.key, RaftInput.Propose(timer.nowMs(), Command.Noop)) }
            repeat(TRY_MS) { if (!isDone()) timer.advanceBy(1) }
        }
    }

    private fun start(name: InstanceId) {
        val member = StoreMember(name, FailureDomain("fd-$name"), HostPort("127.0.0.1", 1), "disk-$name")
        nodes[name] = RaftNode(member, names.toSet(), RestoredLog(), Random(random.nextLong()), timer.nowMs())
        timer.every(TICK_MS) { handle(name, RaftInput.Tick(timer.nowMs())) }
    }

    private fun handle(
        name: InstanceId,
        input: RaftInput,
    ) {
        nodes[name]?.handle(input, timer.nowMs())?.forEach { execute(name, it) }
    }

    private fun execute(
        name: InstanceId,
        output: RaftOutput,
    ) {
        when (output) {
            is RaftOutput.Send -> {
                timer.after(1 + random.nextLong(2)) { handle(output.to, RaftInput.Received(output.message)) }
            }

            is RaftOutput.Write -> {
                val doneMs = maxOf(diskFreeMs[name] ?: 0, timer.nowMs()) + 1 + random.nextLong(MAX_WRITE_MS)
                diskFreeMs[name] = doneMs
                timer.after(doneMs - timer.nowMs()) { handle(name, RaftInput.DiskDone(output.write.sequence)) }
            }

            is RaftOutput.Answer -> {
                if (output.outcome is ProposalOutcome.Committed) committed++
            }

            else -> {
                return
            }
        }
    }

    private companion object {
        const val TICK_MS = 20L
        const val TRY_MS = 5
        const val MAX_WRITE_MS = 10L
        const val LIMIT_MS = 100_000L
    }
}
