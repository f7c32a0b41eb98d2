package samphirechute.state.sim

import samphirechute.core.InstanceId
import samphirechute.core.time.Clock
import samphirechute.state.command.ClaimKey
import samphirechute.state.raft.AppliedEntry
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.store.StoreState

/** Records what the members and the callers of a store saw, and finds what must never be seen. */
internal class History(
    private val clock: Clock,
) {
    private val log = mutableMapOf<Long, AppliedEntry>()
    private val leaders = mutableMapOf<Long, InstanceId>()
    private val acknowledged = mutableMapOf<Long, ProposalOutcome.Committed>()
    private val runs = mutableMapOf<ClaimKey, Int>()
    private val lastIndexes = mutableMapOf<Pair<InstanceId, Int>, Long>()
    private var acknowledgedRevision = 0L
    private val faults = mutableListOf<String>()

    fun led(
        instance: InstanceId,
        term: Long,
    ) {
        val other = leaders.put(term, instance)
        if (other != null && other != instance) report("two leaders in term $term: $other and $instance")
    }

    fun applied(
        instance: InstanceId,
        life: Int,
        entry: AppliedEntry,
    ) {
        val first = log.getOrPut(entry.index) { entry }
        if (first != entry) report("$instance applied another entry ${entry.index}: $entry instead of $first")
        val previous = lastIndexes.put(instance to life, entry.index)
        if (previous != null && entry.index != previous + 1) report("$instance applied ${entry.index} after $previous")
    }

    fun installed(
        instance: InstanceId,
        life: Int,
        state: StoreState,
    ) {
        val previous = lastIndexes.put(instance to life, state.index)
        if (previous != null && state.index < previous) report("$instance went back from $previous to ${state.index}")
    }

    fun answered(outcome: ProposalOutcome) {
        if (outcome !is ProposalOutcome.Committed) return
        acknowledged[outcome.index] = outcome
        val result = outcome.result
        if (result is samphirechute.state.command.CommandResult.Published) {
            acknowledgedRevision = maxOf(acknowledgedRevision, result.revision)
        }
    }

    /** A caller with an accepted claim has started the request. */
    fun ran(key: ClaimKey) {
        val count = runs.merge(key, 1, Int::plus)
        if (count != 1) report("$key ran $count times")
    }

    /** A caller that sent nothing has given its claim back. */
    fun releasedUnrun(key: ClaimKey) {
        runs.computeIfPresent(key) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /** Members that would answer reads from their lease at this moment, with their states. */
    fun read(served: List<Pair<InstanceId, StoreState>>) {
        if (served.size > 1) report("${served.map { it.first }} serve reads at once")
        for ((instance, state) in served) {
            if (state.revision < acknowledgedRevision) {
                report("$instance read revision ${state.revision} after $acknowledgedRevision was acknowledged")
            }
            acknowledgedRevision = maxOf(acknowledgedRevision, state.revision)
        }
    }

    /** The faults found, given the [states] that the members agree on at the end. */
    fun faults(states: List<StoreState>): List<String> {
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
        return faults
    }

    private fun report(fault: String) {
        faults += "at ${clock.nowMs()} ms: $fault"
    }
}
