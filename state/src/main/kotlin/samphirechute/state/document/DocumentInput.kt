package samphirechute.state.document

import samphirechute.state.command.Claimant

/** The inputs of [DocumentAssigner]. */
sealed class DocumentInput {
    /** Time has passed. */
    data object Ticked : DocumentInput()

    /** This member became store leader; [documents] are all documents in the log without a result. */
    data class LeadershipBegan(
        val documents: List<OpenDocument>,
    ) : DocumentInput()

    /** This member is no longer store leader. */
    data object LeadershipEnded : DocumentInput()

    /** A new document was committed. */
    data class Accepted(
        val document: OpenDocument,
    ) : DocumentInput()

    /** An assignment, or its renewal by the runner, was committed. */
    data class Assigned(
        val id: String,
        val runner: Claimant,
        val leaseMs: Long,
    ) : DocumentInput()

    /** The result of a document was committed. */
    data class Finished(
        val id: String,
    ) : DocumentInput()

    /** All known instances. A runner that is not listed keeps its documents until their leases expire. */
    data class RunnersChanged(
        val runners: List<DocumentRunner>,
    ) : DocumentInput()
}
