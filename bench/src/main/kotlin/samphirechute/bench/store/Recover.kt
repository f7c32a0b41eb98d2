package samphirechute.bench.store

import org.HdrHistogram.Histogram
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.command.DrainTarget
import samphirechute.state.raft.ProposalOutcome
import java.nio.file.Files
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.deleteRecursively
import kotlin.random.Random

/** Recovery of the log: leader loss in virtual time, then restart and repair with real files. */
object Recover {
    private const val LOSSES = 2_000
    private const val CHANGES = 100_000
    private const val IN_FLIGHT = 2_000
    private const val LIMIT_MS = 300_000L

    fun run(
        seed: Long,
        out: (String) -> Unit,
    ) = run(seed, LOSSES, CHANGES, out)

    /** A run that takes a second or two. */
    fun smoke(
        seed: Long,
        out: (String) -> Unit,
    ) = run(seed, losses = 50, changes = 2_000, out)

    private fun run(
        seed: Long,
        losses: Int,
        changes: Int,
        out: (String) -> Unit,
    ) {
        measureLeaderLoss(seed, losses, out)
        measureRestartAndRepair(seed, changes, out)
    }

    private fun measureLeaderLoss(
        seed: Long,
        losses: Int,
        out: (String) -> Unit,
    ) {
        val times = Histogram(3)
        repeat(losses) { times.recordValue(VirtualStore(Random(seed + it)).leaderLossToCommitMs()) }
        val percentiles = listOf(50.0, 99.0, 100.0).map { times.getValueAtPercentile(it) }
        out(
            "recover leader loss to next commit, virtual time, $losses seeds from $seed: " +
                "p50 ${percentiles[0]} ms, p99 ${percentiles[1]} ms, max ${percentiles[2]} ms",
        )
    }

    @OptIn(ExperimentalPathApi::class)
    private fun measureRestartAndRepair(
        seed: Long,
        changes: Int,
        out: (String) -> Unit,
    ) {
        val folder = Files.createTempDirectory("samphirechute-bench")
        try {
            LocalStore(folder, Random(seed)).use { store ->
                store.start()
                change(store, changes)
                val follower = store.all.first { it != store.leader }
                follower.kill()
                val restartMs = time { follower.start() }
                val caughtUpMs = time { store.runUntil(LIMIT_MS) { isLevel(store, follower) } }
                out(
                    "recover restart after $changes changes: read $restartMs ms, level with the leader after $caughtUpMs ms more",
                )
                val repairMs = time { repair(store, follower) }
                out("recover repair of a wiped member after $changes changes: $repairMs ms")
            }
        } finally {
            folder.deleteRecursively()
        }
    }

    private fun change(
        store: LocalStore,
        changes: Int,
    ) {
        var done = 0
        var sent = 0
        while (done < changes) {
            while (sent < changes && sent - done < IN_FLIGHT) {
                val target = DrainTarget.Instance(InstanceId("i${sent % 50}"))
                val command = Command.SetDrain(OperationId("op-$sent"), target, sent / 50 % 2 == 0)
                store.propose(checkNotNull(store.leader), command) {
                    check(it is ProposalOutcome.Committed) { "$it" }
                    done++
                }
                sent++
            }
            store.runUntil(LIMIT_MS) { sent - done < IN_FLIGHT / 2 }
        }
    }

    private fun repair(
        store: LocalStore,
        wiped: LocalStore.Node,
    ) {
        wiped.wipe()
        var isAdded = false
        val leader = checkNotNull(store.leader)
        store.runUntil(LIMIT_MS) { leader.raft?.unknownDisks?.get(wiped.instance) == wiped.member.diskId }
        store.propose(leader, Command.AddMember(OperationId("repair"), wiped.member)) {
            isAdded =
                it is ProposalOutcome.Committed
        }
        store.runUntil(LIMIT_MS) { isAdded && isLevel(store, wiped) }
    }

    private fun isLevel(
        store: LocalStore,
        node: LocalStore.Node,
    ): Boolean {
        val leading = store.leader?.raft ?: return false
        return node.raft?.isVoter == true && node.raft?.commitIndex == leading.commitIndex
    }

    private fun time(action: () -> Unit): Long {
        val startMs = LocalStore.nowMs()
        action()
        return LocalStore.nowMs() - startMs
    }
}
