package samphirechute.routing.placing

import kotlinx.serialization.Serializable
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId

/** An upstream that requests may be placed on, as built from its last announcement and the drains in force. */
@Serializable
data class PlacementTarget(
    val id: UpstreamId,
    val service: ServiceName,
    val address: HostPort,
    val failureDomain: FailureDomain,
    val slots: Int,
    /**
     * False while it is draining, in a drained failure domain, or has been silent for a long time; it gets no requests.
     */
    val isOpen: Boolean = true,
    /**
     * True if its announcements are overdue; it is then used only if it answered a request recently or no other is
     * left.
     */
    val isSilent: Boolean = false,
    val coldUntilMs: Long = 0,
)
