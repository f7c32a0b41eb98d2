package samphirechute.state.document

import samphirechute.state.command.Claimant

/**
 * An accepted document without a result. [remainingMs] is the time to its deadline by the wall time of the log. It is a
 * duration because the wall time of the log can't be compared with the clock of this process.
 */
data class OpenDocument(
    val id: String,
    val remainingMs: Long,
    val runner: Claimant? = null,
)

/** An instance that may run documents, as the store leader sees it. */
data class DocumentRunner(
    val claimant: Claimant,
    val condition: RunnerCondition,
)

/** Whether a runner gets documents and keeps those it has. */
enum class RunnerCondition {
    /** Accepts new documents. */
    AVAILABLE,

    /** Leaving, drained or suspected: finishes its documents but accepts no new ones. */
    NOT_TAKING,

    /** Considered dead; its documents are assigned again. */
    LOST,
}
