package samphirechute.core.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.OperationId
import samphirechute.core.service.ServiceSpec

/**
 * Replaces the set of services if [baseRevision] is still the latest revision. A retry with the same [operationId] gets
 * the reply to the first request.
 */
@Serializable
data class PublishRequest(
    val operationId: OperationId,
    val baseRevision: Long,
    val services: List<ServiceSpec>,
)

/**
 * The outcome of a publish; the HTTP status is 200 for every outcome. [revision] is the new revision if the publish was
 * accepted, otherwise the latest one; [winner] is the operation that published it, if known.
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

    /** Another set was published on top of the same base revision first; nothing changed. */
    @SerialName("conflict")
    CONFLICT,

    /** The set is not valid; the message gives the reason. Nothing changed. */
    @SerialName("rejected")
    REJECTED,
}
