package samphirechute.routing.flow

import samphirechute.core.UpstreamId
import samphirechute.routing.Grant
import samphirechute.routing.GrantResult

/** The actions that [RequestFlow.handle] returns, to be executed in order by the instance that runs the flow. */
sealed class FlowOutput {
    /**
     * Claims the request at the store. Expects one [FlowInput.ClaimAnswered]. The flow asks again as long as another
     * claimant runs the request.
     */
    data object AskClaim : FlowOutput()

    /**
     * Releases the claim, because nothing was sent to an upstream and nothing will be. The flow releases it a second
     * time when the claim is accepted after the first release, which may have reached the log before the claim.
     */
    data object ReleaseClaim : FlowOutput()

    /** Asks coordinators for a grant that uses none of the [excluded] upstreams. */
    data class AskGrant(
        val attempt: Int,
        val excluded: Set<UpstreamId>,
    ) : FlowOutput()

    /** Cancels the request for the grant of [attempt]. */
    data class WithdrawGrant(
        val attempt: Int,
    ) : FlowOutput()

    /** Sends the request to the upstream of [grant], which is to resume the answer at [resumeOffset]. */
    data class Dispatch(
        val grant: Grant,
        val attempt: Int,
        val resumeOffset: Long,
        val useFreshConnection: Boolean,
    ) : FlowOutput()

    /** Sends tokens of the answer to the caller. [offset] is the position of the first one in the whole answer. */
    data class Deliver(
        val offset: Long,
        val texts: List<String>,
    ) : FlowOutput()

    /**
     * Cancels an attempt at its upstream; whatever of it has not been sent must not be sent any more.
     * [retireConnection] tells not to reuse its connection, which may be dead.
     */
    data class CancelAttempt(
        val grant: Grant,
        val attempt: Int,
        val retireConnection: Boolean,
    ) : FlowOutput()

    /** Returns a grant to its coordinator, with the result of the attempt. */
    data class ReleaseGrant(
        val grant: Grant,
        val result: GrantResult,
    ) : FlowOutput()

    /** Records the outcome of a non-repeatable request with its claim. Expects [FlowInput.OutcomeRecorded]. */
    data class RecordOutcome(
        val outcome: FlowOutcome,
    ) : FlowOutput()

    /** Ends the request and reports its outcome to the caller. */
    data class Finish(
        val outcome: FlowOutcome,
    ) : FlowOutput()

    /** Records an event on the timeline that operators read. */
    data class RecordEvent(
        val event: String,
        val fields: Map<String, String>,
    ) : FlowOutput()
}
