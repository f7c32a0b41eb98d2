package samphirechute.routing.quarantine

import kotlinx.serialization.Serializable
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.RequestTrait
import samphirechute.core.UpstreamId

/**
 * What one attempt tells about the traits of its request. Times are those of the clock of the instance that holds it.
 */
data class RunEvidence(
    val request: RequestId,
    /** The instance that sent the request. */
    val instance: InstanceId,
    val upstream: UpstreamId,
    /** What the request has in common with others, or with its own repeats. */
    val traits: Set<RequestTrait>,
    val sentMs: Long,
    val endedMs: Long,
    val outcome: RunOutcome,
)

@Serializable
enum class RunOutcome {
    /**
     * The upstream ended the connection before the head of an answer, which its like send before they begin. Another prompt
     * is more likely to blame.
     */
    LOST_WAITING,

    /** The upstream ended the connection when it had written no more than the beginning of the answer. */
    LOST_BEGUN,

    /** The upstream has written more than the beginning of the answer, or all of it. */
    SOUND,
}
