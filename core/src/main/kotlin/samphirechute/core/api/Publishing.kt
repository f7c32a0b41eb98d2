package samphirechute.core.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.OperationId
import samphirechute.core.service.ServiceSpec

/**
 * Replaces the set of services, if [baseRevision] is still the latest. A resend with the same [operationId] gets
 * the reply of the first.
 */
@Serializable
data class PublishRequest(
    val operationId: OperationId,
    val baseRevision: Long,
    val services: List<ServiceSpec>,
)

/**
 * The decision on a publish, with status 200 whatever the decision. [revision] is the new revision when accepted,
 * otherwise the latest one; [winner] is the operation that published it, if known.
 */
@Serializable
data class PublishReply(
    val outcome: PublishOutcome,
    val revision: Long,
    val winner: OperationId? = null,
    val message: String? = null,
)

@Serializable
enum class PublishOutcome {
    @SerialName("accepted")
    ACCEPTED,

    /** Another set was published on the same base revision first; nothing changed. */
    @SerialName("conflict")
    CONFLICT,

    /** The set is not valid, for the reason in the message; nothing changed. */
    @SerialName("rejected")
    REJECTED,
}
