package samphirechute.serving.relay

import samphirechute.core.UpstreamId
import samphirechute.net.ResponseHead
import samphirechute.routing.placing.PlacementOutcome

/** The result of an [Attempt]. [outcome] is reported to the coordinator, [label] is counted in metrics. */
internal sealed class AttemptResult(
    val outcome: PlacementOutcome,
    val label: String,
) {
    /** The upstream sent a complete answer, with any status. */
    class Answered(
        val head: ResponseHead,
        val body: ByteArray,
    ) : AttemptResult(PlacementOutcome.DONE, "answered")

    /** All events of the stream arrived and were relayed. */
    data object StreamEnded : AttemptResult(PlacementOutcome.DONE, "stream_ended")

    /** The upstream did not run the request and will not. */
    class NotRun(
        reason: String,
        isGone: Boolean,
        val isConnected: Boolean,
        /** The helper because of which the upstream refused the request, if it named one. */
        val failedHelper: UpstreamId? = null,
        /** For how long the upstream asked this instance to send no requests. */
        val retryAfterMs: Long? = null,
    ) : AttemptResult(
            when {
                isGone -> PlacementOutcome.GONE
                isConnected -> PlacementOutcome.REFUSED
                else -> PlacementOutcome.UNREACHABLE
            },
            reason,
        )

    /** A helper did not reserve its part of the memory, so the request was not sent; the upstream itself is not at fault. */
    class NoMemory(
        val failure: ReservationFailure,
    ) : AttemptResult(PlacementOutcome.CANCELLED, "no_memory")

    /** The upstream may have run the request, but its answer is lost or invalid. */
    class Lost(
        reason: String,
        isStalled: Boolean = false,
        /** The upstream ended the connection before the answer was complete, as when it crashes. */
        val isBrokenOff: Boolean = false,
        /** What was wrong with the answer, for log lines. */
        val detail: String? = null,
    ) : AttemptResult(if (isStalled) PlacementOutcome.STALLED else PlacementOutcome.FAILED, reason)
}
