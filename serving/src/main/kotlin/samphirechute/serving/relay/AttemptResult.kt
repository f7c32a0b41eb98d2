package samphirechute.serving.relay

import samphirechute.core.UpstreamId
import samphirechute.net.ResponseHead
import samphirechute.routing.placing.PlacementOutcome

/** How one sending of a request ended. */
internal sealed class AttemptResult(
    val outcome: PlacementOutcome,
    val label: String,
) {
    /** A whole answer of the upstream, be it a success or a failure. */
    class Answered(
        val head: ResponseHead,
        val body: ByteArray,
    ) : AttemptResult(PlacementOutcome.DONE, "answered")

    /** All events have come and were passed on. */
    data object StreamEnded : AttemptResult(PlacementOutcome.DONE, "stream_ended")

    /** The upstream has not run the request and never will. */
    class NotRun(
        reason: String,
        isGone: Boolean,
        val isConnected: Boolean,
        /** A helper that the upstream could not use. */
        val atFault: UpstreamId? = null,
        /** How long the upstream wants no requests of this instance. */
        val retryAfterMs: Long? = null,
    ) : AttemptResult(
            when {
                isGone -> PlacementOutcome.GONE
                isConnected -> PlacementOutcome.REFUSED
                else -> PlacementOutcome.UNREACHABLE
            },
            reason,
        )

    /** The upstream may have run the request, and its answer is lost or not to be trusted. */
    class Lost(
        reason: String,
        isStalled: Boolean = false,
    ) : AttemptResult(if (isStalled) PlacementOutcome.STALLED else PlacementOutcome.FAILED, reason)
}
