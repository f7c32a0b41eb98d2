package samphirechute.routing.placing

import kotlinx.serialization.Serializable
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId

/** An upstream that requests may be placed on, as far as it is known. */
@Serializable
data class PlacementTarget(
    val id: UpstreamId,
    val service: ServiceName,
    val address: HostPort,
    val failureDomain: FailureDomain,
    val slots: Int,
    /** False while it is draining, in a drained failure domain, or has been silent for long. */
    val isOpen: Boolean = true,
    /** Silent for a while: used only when it has answered since, or nothing else is left. */
    val isSilent: Boolean = false,
    val coldUntilMs: Long = 0,
)
