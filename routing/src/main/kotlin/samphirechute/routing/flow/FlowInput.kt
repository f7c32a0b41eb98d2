package samphirechute.routing.flow

import samphirechute.core.RunState
import samphirechute.routing.Grant
import samphirechute.routing.RefusalReason

/** The events that a [RequestFlow] handles. The instance that runs the flow passes them to [RequestFlow.handle]. */
sealed class FlowInput {
    data object Started : FlowInput()

    data class ClaimAnswered(
        val answer: ClaimAnswer,
    ) : FlowInput()

    data class Granted(
        val grant: Grant,
    ) : FlowInput()

    /** No coordinator granted [attempt]. [reason] is that of the coordinator asked last. */
    data class GrantRefused(
        val attempt: Int,
        val reason: RefusalReason,
        val retryAfterMs: Long,
    ) : FlowInput()

    /** From now on the upstream may have received the request. Must be handled before the first byte is written. */
    data class BytesSent(
        val attempt: Int,
    ) : FlowInput()

    /** A piece of the answer. [offset] is the position of its first token in the whole answer. */
    data class TokensArrived(
        val attempt: Int,
        val requestId: String,
        val offset: Long,
        val texts: List<String>,
    ) : FlowInput()

    /** The upstream ended the answer. [totalTokens] is the length of the whole answer, not only of this attempt. */
    data class AnswerEnded(
        val attempt: Int,
        val requestId: String,
        val totalTokens: Long,
    ) : FlowInput()

    /**
     * The attempt ended without the whole answer. [requestId] is the request that a refusal names; a refusal that names
     * no request does not prove that nothing ran.
     */
    data class AttemptFailed(
        val attempt: Int,
        val failure: AttemptFailure,
        val requestId: String? = null,
    ) : FlowInput()

    /** Tells whether the outcome of a non-repeatable request is committed to the replicated log. */
    data class OutcomeRecorded(
        val isRecorded: Boolean,
    ) : FlowInput()

    data object CallerGone : FlowInput()

    /** Reading resumed after a pause for a slow caller. The pause does not count as silence of the upstream. */
    data object ReadingResumed : FlowInput()

    data object Ticked : FlowInput()
}

/** The response of the store to a claim. */
sealed class ClaimAnswer {
    /** The claim is committed for this instance, so the request may be dispatched. */
    data object Accepted : ClaimAnswer()

    /** The request ran before. [answer] is null when it was too large to store. */
    data class Finished(
        val answer: StoredAnswer?,
    ) : ClaimAnswer()

    data class InProgress(
        val retryAfterMs: Long,
    ) : ClaimAnswer()

    /** An earlier run of the request ended with an unknown outcome. */
    data object Unknown : ClaimAnswer()

    /** The request id was used before with a different body. */
    data object OtherBody : ClaimAnswer()

    /** No quorum answered. [mayBeCommitted] is true when the claim may still have reached the log. */
    data class Unavailable(
        val mayBeCommitted: Boolean,
        val retryAfterMs: Long,
    ) : ClaimAnswer()
}

/** An answer stored with its claim, to be returned when the caller sends the request again. */
data class StoredAnswer(
    val status: Int,
    val contentType: String,
    val body: String,
)

/** Why an attempt ended without the whole answer. */
enum class AttemptFailure {
    /** No connection could be opened, so nothing was sent. */
    CONNECT_FAILED,

    /** The upstream refused the request before running it. */
    REFUSED,

    /** The connection broke before the end of the answer. */
    CLOSED,

    /** The upstream sent an answer that its protocol does not allow. */
    GARBAGE,
}

/** How a request ended, as reported to its caller. [code] and [message] are null when it succeeded. */
data class FlowOutcome(
    val runState: RunState,
    val code: String?,
    val message: String?,
    val retryAfterMs: Long? = null,
    val stored: StoredAnswer? = null,
)
