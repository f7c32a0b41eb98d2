package samphirechute.state.document

import samphirechute.state.command.Claimant
import samphirechute.state.command.Command

/** What the list of documents that an instance runs reacts to. */
sealed class RunnerInput {
    data object Ticked : RunnerInput()

    /** An assignment was committed, to this instance or to another, or a renewal of this instance. */
    data class Assigned(
        val id: String,
        val runner: Claimant,
    ) : RunnerInput()

    data class Finished(
        val id: String,
    ) : RunnerInput()
}

/** What the list of documents asks the instance to do. */
sealed class RunnerOutput {
    data class Start(
        val id: String,
    ) : RunnerOutput()

    /** Another instance has the document, or soon will. */
    data class Stop(
        val id: String,
    ) : RunnerOutput()

    /** Append to the log, and report [RunnerInput.Assigned] when it is committed. */
    data class Renew(
        val command: Command.AssignDocument,
    ) : RunnerOutput()
}

/** The documents that this instance runs and must renew each [DOCUMENT_RENEWAL_MS]. */
class RunnerLeases(
    private val self: Claimant,
) {
    private val leases = LinkedHashMap<String, Lease>()

    /** The documents to renew. */
    val running: Set<String> get() = leases.keys

    fun handle(
        input: RunnerInput,
        nowMs: Long,
    ): List<RunnerOutput> =
        when (input) {
            RunnerInput.Ticked -> renewDue(nowMs)
            is RunnerInput.Assigned -> onAssigned(input, nowMs)
            is RunnerInput.Finished -> listOfNotNull(leases.remove(input.id)?.let { RunnerOutput.Stop(input.id) })
        }

    private fun onAssigned(
        input: RunnerInput.Assigned,
        nowMs: Long,
    ): List<RunnerOutput> {
        val known = leases[input.id]
        if (input.runner != self) return listOfNotNull(leases.remove(input.id)?.let { RunnerOutput.Stop(input.id) })
        // A renewal counts from when it was sent, since the leader counts from when it commits.
        leases[input.id] = Lease((known?.askedMs ?: nowMs) + DOCUMENT_LEASE_MS, known?.askedMs ?: nowMs)
        return if (known == null) listOf(RunnerOutput.Start(input.id)) else emptyList()
    }

    private fun renewDue(nowMs: Long): List<RunnerOutput> {
        val outputs = mutableListOf<RunnerOutput>()
        for ((id, lease) in leases.entries.toList()) {
            if (nowMs >= lease.untilMs) {
                leases -= id
                outputs += RunnerOutput.Stop(id)
            } else if (nowMs - lease.askedMs >= DOCUMENT_RENEWAL_MS) {
                lease.askedMs = nowMs
                outputs += RunnerOutput.Renew(Command.AssignDocument(id, self, DOCUMENT_LEASE_MS))
            }
        }
        return outputs
    }

    private class Lease(
        val untilMs: Long,
        var askedMs: Long,
    )
}
