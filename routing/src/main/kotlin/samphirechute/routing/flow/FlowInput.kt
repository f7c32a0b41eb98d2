package samphirechute.routing.flow

import samphirechute.core.RunState
import samphirechute.routing.Grant
import samphirechute.routing.RefusalReason

/** What the flow of one request reacts to. */
sealed class FlowInput {
    data object Started : FlowInput()

    data class ClaimAnswered(
        val answer: ClaimAnswer,
    ) : FlowInput()

    data class Granted(
        val grant: Grant,
    ) : FlowInput()

    /** No coordinator gave a grant for [attempt]; [reason] is that of the last one asked. */
    data class GrantRefused(
        val attempt: Int,
        val reason: RefusalReason,
        val retryAfterMs: Long,
    ) : FlowInput()

    /** From now on the upstream may have received the request. Handled before the first byte is written. */
    data class BytesSent(
        val attempt: Int,
    ) : FlowInput()

    /** A piece of the answer; [offset] counts its first token from the start of the whole answer. */
    data class TokensArrived(
        val attempt: Int,
        val requestId: String,
        val offset: Long,
        val texts: List<String>,
    ) : FlowInput()

    /** The upstream ended the answer after [totalTokens] tokens, counted from the start of the whole answer. */
    data class AnswerEnded(
        val attempt: Int,
        val requestId: String,
        val totalTokens: Long,
    ) : FlowInput()

    /** [requestId] is the request that a refusal names; a refusal that names no request proves nothing. */
    data class AttemptFailed(
        val attempt: Int,
        val failure: AttemptFailure,
        val requestId: String? = null,
    ) : FlowInput()

    /** The outcome of a non-repeatable request is, or is not, in the replicated log. */
    data class OutcomeRecorded(
        val isRecorded: Boolean,
    ) : FlowInput()

    data object CallerGone : FlowInput()

    /** The answer is read again after a pause for a slow caller; the pause is no silence of the upstream. */
    data object ReadingResumed : FlowInput()

    data object Ticked : FlowInput()
}

/** What the store said to a claim. */
sealed class ClaimAnswer {
    /** The claim is committed in the name of this instance; the request may be dispatched. */
    data object Accepted : ClaimAnswer()

    /** The request ran before; [answer] is null when it was too large to keep. */
    data class Finished(
        val answer: StoredAnswer?,
    ) : ClaimAnswer()

    data class InProgress(
        val retryAfterMs: Long,
    ) : ClaimAnswer()

    data object Unknown : ClaimAnswer()

    data object OtherBody : ClaimAnswer()

    /** No quorum answered. [mayBeCommitted] when the claim may be in the log all the same. */
    data class Unavailable(
        val mayBeCommitted: Boolean,
        val retryAfterMs: Long,
    ) : ClaimAnswer()
}

/** An answer kept with a claim, for resends. */
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

    /** The upstream answered something that its protocol does not allow. */
    GARBAGE,
}

/** How a request ended, as told to its caller. */
data class FlowOutcome(
    val runState: RunState,
    val code: String?,
    val message: String?,
    val retryAfterMs: Long? = null,
    val stored: StoredAnswer? = null,
)
