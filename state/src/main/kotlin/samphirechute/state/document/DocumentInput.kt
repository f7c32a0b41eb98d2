package samphirechute.state.document

import samphirechute.state.command.Claimant

/** What the assigner of documents reacts to. */
sealed class DocumentInput {
    data object Ticked : DocumentInput()

    /** This member became store leader; [documents] are all that the log holds without a result. */
    data class LeadershipBegan(
        val documents: List<OpenDocument>,
    ) : DocumentInput()

    data object LeadershipEnded : DocumentInput()

    data class Accepted(
        val document: OpenDocument,
    ) : DocumentInput()

    /** An assignment, or the renewal of one by its runner, was committed. */
    data class Assigned(
        val id: String,
        val runner: Claimant,
        val leaseMs: Long,
    ) : DocumentInput()

    data class Finished(
        val id: String,
    ) : DocumentInput()

    /** All instances that are known; one that is not listed keeps what it has until its lease runs out. */
    data class RunnersChanged(
        val runners: List<DocumentRunner>,
    ) : DocumentInput()
}
