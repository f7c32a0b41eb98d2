package samphirechute.core.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.OperationId
import samphirechute.core.UpstreamId

/** Orders an engine to load [name] in [version], or to change its role to [name]. A resend gets the first reply. */
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

/** The order is committed; its end is shown in the time line as `order_finished`. */
@Serializable
data class OrderReply(
    val operationId: OperationId,
)

/** Adds the disk of the instance asked to the store, in place of the one that it lost. */
@Serializable
data class RejoinRequest(
    val operationId: OperationId,
)

@Serializable
data class RejoinReply(
    val isMember: Boolean,
)
