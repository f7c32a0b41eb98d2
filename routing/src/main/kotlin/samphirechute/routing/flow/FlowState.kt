package samphirechute.routing.flow

/** The states of a [RequestFlow], in the order in which a request passes through them. Retries go back to a grant. */
sealed class FlowState {
    data object Accepted : FlowState()

    /** Waits for the answer to a claim or, while another claimant runs the request, until [askAgainMs] to ask again. */
    data class Claiming(
        val askAgainMs: Long? = null,
    ) : FlowState()

    /** Waits for a grant or, after a refusal that is expected to be temporary, until [askAgainMs] to ask again. */
    data class AwaitingGrant(
        val attempt: Int,
        val askAgainMs: Long? = null,
    ) : FlowState()

    /** The request was dispatched to an upstream, and no token of the answer has arrived. */
    data class Dispatched(
        val attempt: Attempt,
    ) : FlowState()

    data class Streaming(
        val attempt: Attempt,
        val nextOffset: Long,
    ) : FlowState()

    /** The answer is complete, and the outcome is being written to the replicated log. */
    data class Recording(
        val outcome: FlowOutcome,
    ) : FlowState()

    data class Finished(
        val outcome: FlowOutcome,
    ) : FlowState()
}
