package samphirechute.core.api

import kotlinx.serialization.Serializable
import samphirechute.core.service.ServiceSpec

/** The services that one instance currently applies. */
@Serializable
data class ServicesView(
    val revision: Long,
    val services: List<ServiceView>,
)

/** A service and the number of upstreams, known to the instance, that can serve it. */
@Serializable
data class ServiceView(
    val spec: ServiceSpec,
    val upstreams: Int = 0,
    val warmUpstreams: Int = 0,
)
