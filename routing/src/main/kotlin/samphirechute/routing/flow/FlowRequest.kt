package samphirechute.routing.flow

import samphirechute.core.RequestId

/**
 * The properties of a request that its [RequestFlow] needs.
 *
 * [deadlineMs] is a point in time of the clock passed to [RequestFlow.handle]. [continuesWithoutCaller] keeps the
 * request running when its caller disconnects. [expectedTokens] is the estimated length of the answer, 1 for a plain
 * service. [minRunMs] is the shortest time the request can take; the flow waits for a grant only while that much time
 * remains.
 */
data class FlowRequest(
    val id: RequestId,
    val deadlineMs: Long,
    val isNonRepeatable: Boolean = false,
    val continuesWithoutCaller: Boolean = false,
    val expectedTokens: Long = 1,
    val minRunMs: Long = 0,
)
