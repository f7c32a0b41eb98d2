package samphirechute.state.document

import samphirechute.core.InstanceId
import samphirechute.state.SteppedClock
import samphirechute.state.command.Claimant
import samphirechute.state.command.Command
import kotlin.random.Random

/** How long an instance may run a document without a committed renewal. */
const val DOCUMENT_LEASE_MS = 15_000L

/** How often a runner renews. A lease lasts for three renewals. */
const val DOCUMENT_RENEWAL_MS = 5_000L

/**
 * Assigns accepted documents to instances that run them. It decides only on the store leader, and owns the leader's
 * view of the documents without a result. The daemon's `DocumentLeader` passes it committed records and the time.
 *
 * A document whose runner is lost, or whose lease has expired, is assigned again. A document past its deadline fails.
 * An instance has at most [maxPerRunner] documents, and those with the earliest deadline are assigned first.
 *
 * Time is measured with a [SteppedClock], so that a jump of the clock does not fail documents that still have time.
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

    /** Applies one input and returns the commands to commit, which are none while another member leads. */
    fun handle(
        input: DocumentInput,
        nowMs: Long,
    ): List<DocumentOutput> {
        clock.advance(nowMs)
        val elapsedMs = clock.elapsedMs
        when (input) {
            DocumentInput.Ticked -> {}

            is DocumentInput.LeadershipBegan -> {
                startLeading(input.documents, elapsedMs)
            }

            DocumentInput.LeadershipEnded -> {
                isLeader = false
            }

            is DocumentInput.Accepted -> {
                addDocument(input.document, elapsedMs)
            }

            is DocumentInput.Assigned -> {
                documents[input.id]?.recordAssignment(input.runner, elapsedMs + input.leaseMs)
            }

            is DocumentInput.Finished -> {
                documents -= input.id
            }

            is DocumentInput.RunnersChanged -> {
                runners = input.runners.associateBy { it.claimant.instance }
            }
        }
        return if (isLeader) decideCommands(elapsedMs) else emptyList()
    }

    private fun startLeading(
        open: List<OpenDocument>,
        elapsedMs: Long,
    ) {
        isLeader = true
        documents.clear()
        open.forEach { addDocument(it, elapsedMs) }
    }

    /**
     * Adds a document unless it is known. A runner that the log names gets a whole lease, since the time of its last
     * renewal is not known here.
     */
    private fun addDocument(
        document: OpenDocument,
        elapsedMs: Long,
    ) {
        if (document.id in documents) return
        val leaseUntilMs = if (document.runner == null) elapsedMs else elapsedMs + DOCUMENT_LEASE_MS
        documents[document.id] = Entry(document.id, elapsedMs + document.remainingMs, document.runner, leaseUntilMs)
    }

    /**
     * Goes through the documents by deadline, so that the most urgent ones get the free places. The deadline is checked
     * before the runner: a document that is too late fails, and is not assigned again.
     */
    private fun decideCommands(elapsedMs: Long): List<DocumentOutput> {
        val outputs = mutableListOf<DocumentOutput>()
        val loads = runnerLoads(elapsedMs)
        for (document in documents.values.sortedBy { it.deadlineMs }) {
            if (elapsedMs < document.commitDueMs) continue
            val command =
                if (elapsedMs >= document.deadlineMs) {
                    Command.FinishDocument(document.id, document.runner ?: self, null, emptyList(), DEADLINE_CODE)
                } else if (document.needsRunner(elapsedMs)) {
                    chooseRunner(document, loads)?.let { Command.AssignDocument(document.id, it, DOCUMENT_LEASE_MS) }
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

    private fun chooseRunner(
        document: Entry,
        loads: Map<InstanceId, Int>,
    ): Claimant? {
        val available =
            runners.values
                .filter { it.condition == RunnerCondition.AVAILABLE }
                .map { it.claimant }
                .filter { (loads[it.instance] ?: 0) < maxPerRunner }
        // The runner whose lease has just expired is chosen again only when no other is available.
        val preferred = available.filter { it != document.runner }.ifEmpty { available }
        val lowestLoad = preferred.minOfOrNull { loads[it.instance] ?: 0 } ?: return null
        return preferred.filter { (loads[it.instance] ?: 0) == lowestLoad }.random(random)
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

        fun recordAssignment(
            runner: Claimant,
            untilMs: Long,
        ) {
            this.runner = runner
            leaseUntilMs = untilMs
            commitDueMs = Long.MIN_VALUE
        }
    }

    private companion object {
        /** A command whose result is still not known after this time is committed again. */
        const val COMMIT_RETRY_MS = 2_000L
        const val DEADLINE_CODE = "deadline_exceeded"
    }
}
