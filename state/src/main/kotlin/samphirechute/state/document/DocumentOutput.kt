package samphirechute.state.document

import samphirechute.state.command.Command

/** What the assigner asks its instance to do. */
sealed class DocumentOutput {
    /** Append to the log. The result comes back as [DocumentInput.Assigned] or [DocumentInput.Finished]. */
    data class Commit(
        val command: Command,
    ) : DocumentOutput()
}
