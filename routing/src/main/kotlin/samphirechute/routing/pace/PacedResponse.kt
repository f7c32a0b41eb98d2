package samphirechute.routing.pace

import samphirechute.core.FailureDomain

/** A response as the pace of its upstream sees it. Times to the first byte count from when the request was sent. */
data class PacedResponse(
    val firstByteMs: Long,
    val predictedMs: Double,
    /** What the caller wants. */
    val targetMs: Long,
    /** The failure domain of the instance that sent the request. */
    val from: FailureDomain?,
    val grantedMs: Long,
)
