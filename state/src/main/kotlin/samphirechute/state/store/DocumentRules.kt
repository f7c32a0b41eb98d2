package samphirechute.state.store

import samphirechute.state.command.Claimant
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult

/*
 * The commands on documents. StoreState.apply calls these functions.
 */

/** The error code of a document whose deadline passed before it was answered. */
const val DOCUMENT_DEADLINE_EXCEEDED = "deadline_exceeded"

internal fun StoreState.acceptDocument(command: Command.AcceptDocument): Applied {
    val current = documents[command.id]
    if (current != null) {
        val isSame = current.requestId == command.requestId && current.bodyDigest == command.bodyDigest
        return if (isSame) applied(CommandResult.Done) else rejected("document_id_taken", "'${command.id}' is in use")
    }
    if (command.deadlineMs <= atMs) return rejected("deadline_passed", "the deadline passed before acceptance")
    if (documents.size >= limits.maxDocuments) {
        return rejected("documents_full", "${limits.maxDocuments} documents are kept")
    }
    val record =
        DocumentRecord(
            command.id,
            command.service,
            command.requestId,
            command.bodyDigest,
            command.holders,
            atMs,
            command.deadlineMs,
        )
    return applied(CommandResult.Done) { copy(documents = documents.put(command.id, record)) }
}

/** Assigns the document to a runner, or renews the lease of its current runner. */
internal fun StoreState.assignDocument(command: Command.AssignDocument): Applied {
    val current = documents[command.id] ?: return unknownDocument(command.id)
    if (current.finishedMs != null) return rejected("document_finished", "'${command.id}' is finished")
    if (isStale(command.runner)) return rejected("stale_incarnation", "${command.runner} has been restarted")
    if (current.runner != command.runner && isLeasedToAnother(current, command.runner)) {
        return rejected("document_leased", "'${command.id}' is leased to ${current.runner?.instance}")
    }
    val record = current.copy(runner = command.runner, leaseUntilMs = atMs + command.leaseMs)
    return applied(CommandResult.Done) {
        register(command.runner).run { copy(documents = documents.put(command.id, record)) }
    }
}

/** Records the answer or error from the current runner. Any instance may record that the deadline has passed. */
internal fun StoreState.finishDocument(command: Command.FinishDocument): Applied {
    val current = documents[command.id] ?: return unknownDocument(command.id)
    val isOwn = current.runner == command.runner
    val isPastDeadline = command.errorCode == DOCUMENT_DEADLINE_EXCEEDED && atMs > current.deadlineMs
    if (current.finishedMs != null) {
        return if (isOwn) applied(CommandResult.Done) else rejected("document_finished", "'${command.id}' is finished")
    }
    if (!isOwn && !isPastDeadline) return rejected("document_not_held", "'${command.id}' has another runner")
    val record =
        current.copy(
            finishedMs = atMs,
            answerDigest = command.answerDigest,
            answerHolders = command.holders,
            errorCode = command.errorCode,
        )
    return applied(CommandResult.Done) { copy(documents = documents.put(command.id, record)) }
}

private fun StoreState.isLeasedToAnother(
    record: DocumentRecord,
    requester: Claimant,
): Boolean {
    val runner = record.runner ?: return false
    val isRestarted = runner.instance == requester.instance && runner.incarnation < requester.incarnation
    return record.leaseUntilMs > atMs && !isStale(runner) && !isRestarted
}

private fun StoreState.unknownDocument(id: String) = rejected("document_unknown", "'$id' is unknown or has expired")
