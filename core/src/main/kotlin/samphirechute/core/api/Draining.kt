package samphirechute.core.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.OperationId

/** Takes a target out of service, or brings it back. A resend with the same [operationId] gets the first reply. */
@Serializable
data class DrainRequest(
    val operationId: OperationId,
    val kind: DrainKind,
    val name: String,
    val isDrained: Boolean,
)

/**
 * The order was taken. [isCommitted] is false while it is in force only where this instance's messages reach,
 * because no store leader could be reached; it is committed once one can.
 */
@Serializable
data class DrainReply(
    val isCommitted: Boolean,
    val drainVersion: Long? = null,
)

@Serializable
enum class DrainKind {
    @SerialName("instance")
    INSTANCE,

    @SerialName("upstream")
    UPSTREAM,

    @SerialName("domain")
    DOMAIN,
    ;

    /** The name used on the wire and on the command line. */
    val wireName: String get() = name.lowercase()
}

/** One target that is out of service. */
@Serializable
data class DrainView(
    val kind: DrainKind,
    val name: String,
    val isCommitted: Boolean = true,
)
