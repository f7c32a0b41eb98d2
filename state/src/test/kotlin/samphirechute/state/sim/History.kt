package samphirechute.state.sim

import samphirechute.core.InstanceId
import samphirechute.core.time.Clock
import samphirechute.state.command.ClaimKey
import samphirechute.state.raft.AppliedEntry
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.store.StoreState

/**
 * Records what the members and callers of a simulated store observe, and checks it: one leader per term, equal logs, no
 * lost acknowledged entry, no request that runs twice, and no read of an outdated revision.
 */
internal class History(
    private val clock: Clock,
) {
    private val log = mutableMapOf<Long, AppliedEntry>()
    private val leaders = mutableMapOf<Long, InstanceId>()
    private val acknowledged = mutableMapOf<Long, ProposalOutcome.Committed>()
    private val runs = mutableMapOf<ClaimKey, Int>()
    private val lastIndexes = mutableMapOf<Pair<InstanceId, Int>, Long>()
    private var acknowledgedRevision = 0L
    private val violations = mutableListOf<String>()

    fun recordLeader(
        instance: InstanceId,
        term: Long,
    ) {
        val other = leaders.put(term, instance)
        if (other != null && other != instance) report("two leaders in term $term: $other and $instance")
    }

    fun recordApplied(
        instance: InstanceId,
        incarnation: Int,
        entry: AppliedEntry,
    ) {
        val first = log.getOrPut(entry.index) { entry }
        if (first != entry) report("$instance applied another entry ${entry.index}: $entry instead of $first")
        val previous = lastIndexes.put(instance to incarnation, entry.index)
        if (previous != null && entry.index != previous + 1) report("$instance applied ${entry.index} after $previous")
    }

    fun recordInstalled(
        instance: InstanceId,
        incarnation: Int,
        state: StoreState,
    ) {
        val previous = lastIndexes.put(instance to incarnation, state.index)
        if (previous != null && state.index < previous) report("$instance went back from $previous to ${state.index}")
    }

    fun recordOutcome(outcome: ProposalOutcome) {
        if (outcome !is ProposalOutcome.Committed) return
        acknowledged[outcome.index] = outcome
        val result = outcome.result
        if (result is samphirechute.state.command.CommandResult.Published) {
            acknowledgedRevision = maxOf(acknowledgedRevision, result.revision)
        }
    }

    /** Records that a caller with an accepted claim has started the request. */
    fun recordRun(key: ClaimKey) {
        val count = runs.merge(key, 1, Int::plus)
        if (count != 1) report("$key ran $count times")
    }

    /** Records that a claim was released whose request never ran. */
    fun recordRelease(key: ClaimKey) {
        runs.computeIfPresent(key) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /** Records the members that could answer reads by their lease at this moment, with their states. */
    fun recordReads(served: List<Pair<InstanceId, StoreState>>) {
        if (served.size > 1) report("${served.map { it.first }} serve reads at once")
        for ((instance, state) in served) {
            if (state.revision < acknowledgedRevision) {
                report("$instance read revision ${state.revision} after $acknowledgedRevision was acknowledged")
            }
            acknowledgedRevision = maxOf(acknowledgedRevision, state.revision)
        }
    }

    /** The violations found, including those in the final [states] of the members. */
    fun violations(states: List<StoreState>): List<String> {
        for (state in states) {
            if (state != states.first()) report("the members ended with different states")
            if (state.revision <
                acknowledgedRevision
            ) {
                report("revision fell from $acknowledgedRevision to ${state.revision}")
            }
            acknowledged.keys.filter { it > state.index }.forEach { report("acknowledged entry $it is lost") }
        }
        acknowledged.forEach { (index, outcome) ->
            val entry = log[index]
            if (entry != null && entry.result != outcome.result) report("acknowledged entry $index has another result")
        }
        return violations
    }

    private fun report(violation: String) {
        violations += "at ${clock.nowMs()} ms: $violation"
    }
}
