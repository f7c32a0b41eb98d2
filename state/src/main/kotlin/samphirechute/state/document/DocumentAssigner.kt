package samphirechute.state.document

import samphirechute.core.InstanceId
import samphirechute.state.SteppedClock
import samphirechute.state.command.Claimant
import samphirechute.state.command.Command
import kotlin.random.Random

const val DOCUMENT_LEASE_MS = 15_000L
const val DOCUMENT_RENEWAL_MS = 5_000L

/**
 * Decides which instance runs each accepted document, on the store leader. A document whose runner is lost, or whose
 * lease ran out, is assigned again; one that is past its deadline fails. An instance has at most [maxPerRunner]
 * documents, and those with the least time left are assigned first.
 *
 * Time is counted on a [SteppedClock], since a clock that jumps must not fail documents that still have time.
 */
class DocumentAssigner(
    private val self: Claimant,
    private val random: Random,
    private val maxPerRunner: Int = 4,
) {
    private val documents = LinkedHashMap<String, Entry>()
    private var runners = emptyMap<InstanceId, DocumentRunner>()
    private val clock = SteppedClock()
    private var isLeader = false

    fun handle(
        input: DocumentInput,
        nowMs: Long,
    ): List<DocumentOutput> {
        clock.advance(nowMs)
        val elapsedMs = clock.elapsedMs
        when (input) {
            DocumentInput.Ticked -> {}

            is DocumentInput.LeadershipBegan -> {
                begin(input.documents, elapsedMs)
            }

            DocumentInput.LeadershipEnded -> {
                isLeader = false
            }

            is DocumentInput.Accepted -> {
                accept(input.document, elapsedMs)
            }

            is DocumentInput.Assigned -> {
                documents[input.id]?.assigned(input.runner, elapsedMs + input.leaseMs)
            }

            is DocumentInput.Finished -> {
                documents -= input.id
            }

            is DocumentInput.RunnersChanged -> {
                runners = input.runners.associateBy { it.claimant.instance }
            }
        }
        return if (isLeader) decide(elapsedMs) else emptyList()
    }

    private fun begin(
        open: List<OpenDocument>,
        elapsedMs: Long,
    ) {
        isLeader = true
        documents.clear()
        open.forEach { accept(it, elapsedMs) }
    }

    /** A runner known from the log gets a whole lease, since the time of its last renewal is not known here. */
    private fun accept(
        document: OpenDocument,
        elapsedMs: Long,
    ) {
        if (document.id in documents) return
        val leaseUntilMs = if (document.runner == null) elapsedMs else elapsedMs + DOCUMENT_LEASE_MS
        documents[document.id] = Entry(document.id, elapsedMs + document.remainingMs, document.runner, leaseUntilMs)
    }

    private fun decide(elapsedMs: Long): List<DocumentOutput> {
        val outputs = mutableListOf<DocumentOutput>()
        val loads = runnerLoads(elapsedMs)
        for (document in documents.values.sortedBy { it.deadlineMs }) {
            if (elapsedMs < document.commitDueMs) continue
            val command =
                if (elapsedMs >= document.deadlineMs) {
                    Command.FinishDocument(document.id, document.runner ?: self, null, emptyList(), DEADLINE_CODE)
                } else if (document.needsRunner(elapsedMs)) {
                    choose(document, loads)?.let { Command.AssignDocument(document.id, it, DOCUMENT_LEASE_MS) }
                } else {
                    null
                }
            if (command == null) continue
            if (command is Command.AssignDocument) loads.merge(command.runner.instance, 1, Int::plus)
            document.commitDueMs = elapsedMs + COMMIT_RETRY_MS
            outputs += DocumentOutput.Commit(command)
        }
        return outputs
    }

    private fun runnerLoads(elapsedMs: Long): MutableMap<InstanceId, Int> =
        documents.values
            .filterNot { it.needsRunner(elapsedMs) }
            .mapNotNull { it.runner?.instance }
            .groupingBy { it }
            .eachCount()
            .toMutableMap()

    private fun choose(
        document: Entry,
        loads: Map<InstanceId, Int>,
    ): Claimant? {
        val available =
            runners.values
                .filter { it.condition == RunnerCondition.AVAILABLE }
                .map { it.claimant }
                .filter { (loads[it.instance] ?: 0) < maxPerRunner }
        // The runner that just let the lease run out is taken again only when there is no other.
        val preferred = available.filter { it != document.runner }.ifEmpty { available }
        val least = preferred.minOfOrNull { loads[it.instance] ?: 0 } ?: return null
        return preferred.filter { (loads[it.instance] ?: 0) == least }.random(random)
    }

    private fun Entry.needsRunner(elapsedMs: Long): Boolean {
        val current = runner ?: return true
        val known = runners[current.instance]
        val isLost =
            known != null &&
                (known.condition == RunnerCondition.LOST || known.claimant.incarnation > current.incarnation)
        return isLost || elapsedMs >= leaseUntilMs
    }

    private class Entry(
        val id: String,
        val deadlineMs: Long,
        var runner: Claimant?,
        var leaseUntilMs: Long,
    ) {
        var commitDueMs = Long.MIN_VALUE

        fun assigned(
            runner: Claimant,
            untilMs: Long,
        ) {
            this.runner = runner
            leaseUntilMs = untilMs
            commitDueMs = Long.MIN_VALUE
        }
    }

    private companion object {
        const val COMMIT_RETRY_MS = 2_000L
        const val DEADLINE_CODE = "deadline_exceeded"
    }
}
