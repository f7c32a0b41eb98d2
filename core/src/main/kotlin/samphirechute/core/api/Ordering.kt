package samphirechute.core.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.OperationId
import samphirechute.core.UpstreamId

/**
 * Orders an engine to load the model or adapter [name] in [version], or to change its role to [name]. A retry with the
 * same [operationId] gets the reply to the first request.
 */
@Serializable
data class OrderRequest(
    val operationId: OperationId,
    val upstream: UpstreamId,
    val kind: OrderKind,
    val name: String,
    val version: String = "",
)

@Serializable
enum class OrderKind {
    @SerialName("load_model")
    LOAD_MODEL,

    @SerialName("load_adapter")
    LOAD_ADAPTER,

    @SerialName("change_role")
    CHANGE_ROLE,
    ;

    /** The name used on the wire and on the command line. */
    val wireName: String get() = name.lowercase()
}

/** Confirms that the order is committed. Its completion appears in the timeline as `order_finished`. */
@Serializable
data class OrderReply(
    val operationId: OperationId,
)

/** Asks an instance whose disk was replaced to rejoin the store with the new disk. */
@Serializable
data class RejoinRequest(
    val operationId: OperationId,
)

@Serializable
data class RejoinReply(
    val isMember: Boolean,
)
