package samphirechute.routing.placing

import kotlinx.serialization.Serializable
import samphirechute.core.ServiceName

/** The configuration of a service that placement needs. */
@Serializable
data class PoolProfile(
    val service: ServiceName,
    /** Timing of its engines; null for a plain application. */
    val engine: EngineProfile? = null,
    /** Requests per second that a cold upstream can serve; 0 if its upstreams do not start cold. */
    val coldRequestsPerS: Double = 0.0,
    /** Connections that one upstream accepts from all instances together. */
    val maxConnections: Int = Int.MAX_VALUE,
)
