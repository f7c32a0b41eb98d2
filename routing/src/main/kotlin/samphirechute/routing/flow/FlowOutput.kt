package samphirechute.routing.flow

import samphirechute.core.UpstreamId
import samphirechute.routing.Grant
import samphirechute.routing.GrantResult

/** What the flow of one request asks its instance to do. */
sealed class FlowOutput {
    /** Asks for the claim of the request. Answered once; asked again while another claimant runs the request. */
    data object AskClaim : FlowOutput()

    /**
     * The claim is not used: nothing was sent, nor will be. Comes a second time when the claim is accepted after it
     * was released, because the first release may have reached the log before the claim.
     */
    data object ReleaseClaim : FlowOutput()

    data class AskGrant(
        val attempt: Int,
        val excluded: Set<UpstreamId>,
    ) : FlowOutput()

    data class WithdrawGrant(
        val attempt: Int,
    ) : FlowOutput()

    /** Sends the request; an answer resumes at [resumeOffset]. */
    data class Dispatch(
        val grant: Grant,
        val attempt: Int,
        val resumeOffset: Long,
        val useFreshConnection: Boolean,
    ) : FlowOutput()

    data class Deliver(
        val offset: Long,
        val texts: List<String>,
    ) : FlowOutput()

    /**
     * Stops an attempt at its upstream; [retireConnection] when its connection may be silent for good. What has not
     * been sent of the attempt is not sent any more.
     */
    data class CancelAttempt(
        val grant: Grant,
        val attempt: Int,
        val retireConnection: Boolean,
    ) : FlowOutput()

    data class ReleaseGrant(
        val grant: Grant,
        val result: GrantResult,
    ) : FlowOutput()

    data class RecordOutcome(
        val outcome: FlowOutcome,
    ) : FlowOutput()

    /** The last word to the caller. */
    data class Finish(
        val outcome: FlowOutcome,
    ) : FlowOutput()

    /** For the time line. */
    data class RecordEvent(
        val event: String,
        val fields: Map<String, String>,
    ) : FlowOutput()
}
