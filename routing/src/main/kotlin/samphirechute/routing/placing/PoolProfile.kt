package samphirechute.routing.placing

import kotlinx.serialization.Serializable
import samphirechute.core.ServiceName

/** A service as the placement sees it: its engines' times, or null for a plain application. */
@Serializable
data class PoolProfile(
    val service: ServiceName,
    val engine: EngineProfile? = null,
    /** Requests a second that a cold upstream carries; 0 when its upstreams do not start cold. */
    val coldRequestsPerS: Double = 0.0,
    /** Connections that one upstream accepts from all instances together. */
    val maxConnections: Int = Int.MAX_VALUE,
)
