package samphirechute.routing.limit

import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId

/** What one answer says about the limit of an upstream. Times are those of the clock of the instance that holds it. */
data class LimitEvidence(
    val upstream: UpstreamId,
    /** Null if the answer names no limit. */
    val requestsPerS: Double?,
    /** When the request was sent. The upstream made its statement between this and [answeredMs]. */
    val sentMs: Long,
    /** When the head of the answer arrived. */
    val answeredMs: Long,
    val request: RequestId,
    /** The instance that got the answer. */
    val instance: InstanceId,
)
