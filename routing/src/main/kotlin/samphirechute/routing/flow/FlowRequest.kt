package samphirechute.routing.flow

import samphirechute.core.RequestId

/**
 * What the flow needs to know of its request. [deadlineMs] is a point in time of the clock that is passed to
 * [RequestFlow.handle]. [expectedTokens] is an estimate of the length of the answer, 1 for a plain service.
 * [leastRunMs] is the time that the request takes at best; it bounds the wait for a grant.
 */
data class FlowRequest(
    val id: RequestId,
    val deadlineMs: Long,
    val isNonRepeatable: Boolean = false,
    val continuesWithoutCaller: Boolean = false,
    val expectedTokens: Long = 1,
    val leastRunMs: Long = 0,
)
