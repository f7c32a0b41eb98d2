package samphirechute.state.document

import samphirechute.state.command.Claimant
import samphirechute.state.command.Command

/** The inputs of [RunnerLeases]. */
sealed class RunnerInput {
    /** Time has passed. */
    data object Ticked : RunnerInput()

    /** An assignment to this or another instance was committed, or a renewal by this instance. */
    data class Assigned(
        val id: String,
        val runner: Claimant,
    ) : RunnerInput()

    /** The result of a document was committed. */
    data class Finished(
        val id: String,
    ) : RunnerInput()
}

/** What [RunnerLeases] asks its caller to do. */
sealed class RunnerOutput {
    /** Start to run the document. */
    data class Start(
        val id: String,
    ) : RunnerOutput()

    /** Stop the document: it is finished, its lease expired, or another instance runs it. */
    data class Stop(
        val id: String,
    ) : RunnerOutput()

    /** Append [command] to the log, and report [RunnerInput.Assigned] when it is committed. */
    data class Renew(
        val command: Command.AssignDocument,
    ) : RunnerOutput()
}

/**
 * The leases of the documents that this instance runs. It asks to renew each of them every [DOCUMENT_RENEWAL_MS], and
 * stops a document whose lease expired, since another instance may run it by then. The daemon's `DocumentRunners` calls
 * it.
 */
class RunnerLeases(
    private val self: Claimant,
) {
    private val leases = LinkedHashMap<String, Lease>()

    /** The documents that this instance runs now. */
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
        // The lease counts from when its renewal was sent. The leader counts from the commit, which is later, so the
        // runner stops before the leader assigns the document to another instance.
        leases[input.id] = Lease((known?.renewalSentMs ?: nowMs) + DOCUMENT_LEASE_MS, known?.renewalSentMs ?: nowMs)
        return if (known == null) listOf(RunnerOutput.Start(input.id)) else emptyList()
    }

    private fun renewDue(nowMs: Long): List<RunnerOutput> {
        val outputs = mutableListOf<RunnerOutput>()
        for ((id, lease) in leases.entries.toList()) {
            if (nowMs >= lease.untilMs) {
                leases -= id
                outputs += RunnerOutput.Stop(id)
            } else if (nowMs - lease.renewalSentMs >= DOCUMENT_RENEWAL_MS) {
                lease.renewalSentMs = nowMs
                outputs += RunnerOutput.Renew(Command.AssignDocument(id, self, DOCUMENT_LEASE_MS))
            }
        }
        return outputs
    }

    private class Lease(
        val untilMs: Long,
        var renewalSentMs: Long,
    )
}
