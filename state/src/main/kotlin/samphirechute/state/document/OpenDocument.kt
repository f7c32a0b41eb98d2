package samphirechute.state.document

import samphirechute.state.command.Claimant

/**
 * An accepted document without a result. Times are durations that remain by the wall time of the log, since the
 * clock of this process is not comparable with it.
 */
data class OpenDocument(
    val id: String,
    val remainingMs: Long,
    val runner: Claimant? = null,
)

/** An instance that may run documents, as the leader sees it. */
data class DocumentRunner(
    val claimant: Claimant,
    val condition: RunnerCondition,
)

enum class RunnerCondition {
    /** Takes new documents. */
    AVAILABLE,

    /** Finishes what it has, but takes nothing new: leaving, drained or suspected. */
    NOT_TAKING,

    /** Considered dead; what it had is assigned again. */
    LOST,
}
