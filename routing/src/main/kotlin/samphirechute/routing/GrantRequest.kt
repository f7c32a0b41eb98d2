package samphirechute.routing

import kotlinx.serialization.Serializable
import samphirechute.core.InstanceId
import samphirechute.core.PoolName
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.core.UpstreamId
import samphirechute.core.service.Urgency

/**
 * Asks the coordinator of a failure domain for a grant. Times are remaining durations and not points in time, because
 * the clocks of two instances are not comparable.
 */
@Serializable
data class GrantRequest(
    val requestId: RequestId,
    val attempt: Int,
    val instance: InstanceId,
    val service: ServiceName,
    val team: TeamName,
    val share: Int,
    val urgency: Urgency,
    val pool: PoolName,
    val promptTokens: Long,
    val maxTokens: Long,
    val prefixes: List<PromptPrefix>,
    val firstTokenRemainingMs: Long,
    val remainingMs: Long,
    val excluded: Set<UpstreamId> = emptySet(),
) {
    val key: GrantKey get() = GrantKey(instance, requestId, attempt)
}

/** The hash of the first [tokens] tokens of a prompt, as engines publish it in cache events. */
@Serializable
data class PromptPrefix(
    val hash: Long,
    val tokens: Long,
)

/** Identifies one attempt of one request of one instance, and the grant for that attempt. */
@Serializable
data class GrantKey(
    val instance: InstanceId,
    val requestId: RequestId,
    val attempt: Int,
)
