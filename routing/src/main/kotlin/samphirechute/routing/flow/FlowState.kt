package samphirechute.routing.flow

/** Where the flow of one request stands. */
sealed class FlowState {
    data object Accepted : FlowState()

    /** [askAgainMs] is set while another claimant runs the request; otherwise an answer is awaited. */
    data class Claiming(
        val askAgainMs: Long? = null,
    ) : FlowState()

    /** [askAgainMs] is set after a refusal that is expected to pass; otherwise an answer is awaited. */
    data class AwaitingGrant(
        val attempt: Int,
        val askAgainMs: Long? = null,
    ) : FlowState()

    /** Handed to an upstream, nothing of the answer has arrived. */
    data class Dispatched(
        val attempt: Attempt,
    ) : FlowState()

    data class Streaming(
        val attempt: Attempt,
        val nextOffset: Long,
    ) : FlowState()

    /** The answer is whole; its outcome is being written to the replicated log. */
    data class Recording(
        val outcome: FlowOutcome,
    ) : FlowState()

    data class Finished(
        val outcome: FlowOutcome,
    ) : FlowState()
}
