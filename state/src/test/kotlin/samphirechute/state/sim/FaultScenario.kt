package samphirechute.state.sim

import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftTimings

/** One fault at one step. It affects the member that reaches the step, or another one if [targetsOther]. */
internal data class Injection(
    val step: Step,
    val fault: Fault,
    val targetsOther: Boolean,
)

/**
 * Runs callers, a snapshot, the repair of a wiped member and a membership change on a [SimCluster] with [injections].
 * They are injected one after the other, each the first time that its step is reached, and repaired [HEAL_MS] later.
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
    private var isInjecting = false

    val injectedCount get() = next

    /** Returns the violations found, or the exception that ended the run. */
    fun run(): List<String> {
        cluster.onOutput = ::inject
        return try {
            runSteps()
        } catch (e: IllegalStateException) {
            listOf(e.stackTraceToString().take(TRACE_CHARS))
        }
    }

    private fun runSteps(): List<String> {
        runCallers()
        advanceUntil("the first start") { cluster.isSettled }
        runCallers()
        cluster.nodes.values
            .filter { it != cluster.leader }
            .random(cluster.random)
            .let { if (cluster.isFullyReplicated) it.wipe() }
        runCallers()
        advanceUntil("the repair of the wiped member") { cluster.isSettled }
        val added = cluster.addNode(InstanceId("d"))
        proposeUntilCommitted("the addition") { Command.AddMember(OperationId("add-${added.diskId}"), added.member) }
        runCallers()
        proposeUntilCommitted("the removal") { Command.RemoveMember(OperationId("remove-d"), added.instance) }
        added.kill()
        cluster.nodes -= added.instance
        runCallers()
        advanceUntil("agreement at the end") { healAtMs == null && cluster.isSettled }
        return cluster.history.violations(cluster.nodes.values.mapNotNull { it.raft?.state })
    }

    private fun runCallers() =
        repeat(CALLS) {
            callers.act()
            advance()
            callers.recordReads()
        }

    private fun advanceUntil(
        what: String,
        isDone: () -> Boolean,
    ) {
        val end = cluster.timer.nowMs() + TIMEOUT_MS
        while (!isDone()) {
            check(cluster.timer.nowMs() < end) { "timed out waiting for $what: ${cluster.describe()}" }
            advance()
        }
    }

    private fun proposeUntilCommitted(
        what: String,
        command: () -> Command,
    ) {
        var isDone = false
        advanceUntil(what) {
            val leader = cluster.leader
            if (!isDone &&
                leader != null
            ) {
                cluster.propose(leader, command()) { isDone = isDone || it is ProposalOutcome.Committed }
            }
            isDone
        }
    }

    private fun advance() {
        cluster.run(STEP_MS)
        cluster.readdWipedMember()
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
        if (isInjecting || !injection.step.matches(node, output)) return
        next++
        isInjecting = true
        val target = if (injection.targetsOther) cluster.nodes.values.first { it != node } else node
        injection.fault.trigger(cluster, target)
        healAtMs = cluster.timer.nowMs() + HEAL_MS
        isInjecting = false
    }

    internal companion object {
        const val HEAL_MS = 900L
        private const val CALLS = 12
        private const val STEP_MS = 25L
        private const val TIMEOUT_MS = 30_000L
        private const val TRACE_CHARS = 900
    }
}
