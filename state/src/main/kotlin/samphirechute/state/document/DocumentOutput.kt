package samphirechute.state.document

import samphirechute.state.command.Command

/** What [DocumentAssigner] asks its caller to do. */
sealed class DocumentOutput {
    /** Append [command] to the log, and report its result as [DocumentInput.Assigned] or [DocumentInput.Finished]. */
    data class Commit(
        val command: Command,
    ) : DocumentOutput()
}
