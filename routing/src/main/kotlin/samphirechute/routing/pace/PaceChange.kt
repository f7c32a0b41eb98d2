package samphirechute.routing.pace

import samphirechute.core.UpstreamId

/** A change of the pace of one upstream, with what it was derived from. */
data class PaceChange(
    val upstream: UpstreamId,
    val cause: PaceCause,
    val beforePart: Double,
    val part: Double,
    /** The requests per second that [part] is a part of; used for plain applications. */
    val usualPerS: Double,
)
