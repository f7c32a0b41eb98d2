package samphirechute.serving.relay

import samphirechute.core.UpstreamId
import samphirechute.net.ResponseHead
import samphirechute.routing.placing.PlaceOutcome

/** The result of an [Attempt]. [outcome] is reported to the coordinator, [label] is counted in metrics. */
internal sealed class AttemptResult(
    val outcome: PlaceOutcome,
    val label: String,
) {
    /** The upstream sent a complete answer, with any status. */
    class Answered(
        val head: ResponseHead,
        val body: ByteArray,
    ) : AttemptResult(PlaceOutcome.DONE, "answered")

    /** All events of the stream arrived and were relayed. */
    data object StreamEnded : AttemptResult(PlaceOutcome.DONE, "stream_ended")

    /** The upstream did not run the request and will not. */
    class NotRun(
        reason: String,
        isGone: Boolean,
        val isConnected: Boolean,
        /** The helper because of which the upstream refused the request, if it named one. */
        val failedHelper: UpstreamId? = null,
        /** For how long the upstream asked this instance to send no requests. */
        val turnsAwayMs: Long? = null,
    ) : AttemptResult(
            when {
                isGone -> PlaceOutcome.GONE
                isConnected -> PlaceOutcome.REFUSED
                else -> PlaceOutcome.UNREACHABLE
            },
            reason,
        )

    /** The upstream may have run the request, but its answer is lost or invalid. */
    class Lost(
        reason: String,
        isStalled: Boolean = false,
    ) : AttemptResult(if (isStalled) PlaceOutcome.STALLED else PlaceOutcome.FAILED, reason)
}
