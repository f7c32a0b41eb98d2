package samphirechute.core.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.OperationId

/**
 * Takes a target out of service, or puts it back into service. A retry with the same [operationId] gets the reply to
 * the first request.
 */
@Serializable
data class DrainRequest(
    val operationId: OperationId,
    val kind: DrainKind,
    val name: String,
    val isDrained: Boolean,
)

/**
 * Confirms that the drain was accepted. [isCommitted] is false if no store leader could be reached: until one can, the
 * drain applies only where messages from this instance arrive. It is committed once a leader is reachable.
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
