package samphirechute.state.sim

import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftTimings

/** One fault at one step: strikes the member that takes the step, or another one. */
internal data class Injection(
    val step: Step,
    val fault: Fault,
    val onOther: Boolean,
)

/**
 * Callers, a snapshot, the repair of a wiped member and a change of membership, with [injections] that strike one
 * after the other, each the first time its step comes. Damage is healed [HEAL_MS] after each.
 */
internal class FaultScenario(
    private val seed: Long,
    private val injections: List<Injection>,
) {
    private val timings =
        RaftTimings(snapshotEntries = 12, trailingEntries = 6, catchUpEntries = 2, maxInFlightEntries = 8)
    private val cluster = SimCluster(seed, timings = timings, newDisk = ::FileDisk)
    private val callers = Callers(cluster)
    private var next = 0
    private var healAtMs: Long? = null
    private var isStriking = false

    /** How many of the injections struck. */
    val struck get() = next

    fun run(): List<String> {
        cluster.onOutput = ::inject
        return try {
            play()
        } catch (e: IllegalStateException) {
            listOf(e.stackTraceToString().take(TRACE_CHARS))
        }
    }

    private fun play(): List<String> {
        work()
        await("the start") { cluster.isSettled }
        work()
        cluster.nodes.values
            .filter { it != cluster.leader }
            .random(cluster.random)
            .let { if (cluster.isWhole) it.wipe() }
        work()
        await("the repair") { cluster.isSettled }
        val added = cluster.addNode(InstanceId("d"))
        operate("the addition") { Command.AddMember(OperationId("add-${added.diskId}"), added.member) }
        work()
        operate("the removal") { Command.RemoveMember(OperationId("remove-d"), added.instance) }
        added.kill()
        cluster.nodes -= added.instance
        work()
        await("the end") { healAtMs == null && cluster.isSettled }
        return cluster.history.faults(cluster.nodes.values.mapNotNull { it.raft?.state })
    }

    private fun work() =
        repeat(CALLS) {
            callers.act()
            pass()
            callers.read()
        }

    private fun await(
        what: String,
        isDone: () -> Boolean,
    ) {
        val end = cluster.timer.nowMs() + LIMIT_MS
        while (!isDone()) {
            check(cluster.timer.nowMs() < end) { "$what is not reached: ${cluster.describe()}" }
            pass()
        }
    }

    private fun operate(
        what: String,
        command: () -> Command,
    ) {
        var isDone = false
        await(what) {
            val leader = cluster.leader
            if (!isDone &&
                leader != null
            ) {
                cluster.propose(leader, command()) { isDone = isDone || it is ProposalOutcome.Committed }
            }
            isDone
        }
    }

    private fun pass() {
        cluster.run(PASS_MS)
        cluster.repairWiped()
        val due = healAtMs ?: return
        if (cluster.timer.nowMs() < due) return
        healAtMs = null
        cluster.heal()
    }

    private fun inject(
        node: SimCluster.SimNode,
        output: samphirechute.state.raft.RaftOutput,
    ) {
        val injection = injections.getOrNull(next) ?: return
        if (isStriking || !injection.step.matches(node, output)) return
        next++
        isStriking = true
        val target = if (injection.onOther) cluster.nodes.values.first { it != node } else node
        injection.fault.strike(cluster, target)
        healAtMs = cluster.timer.nowMs() + HEAL_MS
        isStriking = false
    }

    internal companion object {
        const val HEAL_MS = 900L
        private const val CALLS = 12
        private const val PASS_MS = 25L
        private const val LIMIT_MS = 30_000L
        private const val TRACE_CHARS = 900
    }
}
