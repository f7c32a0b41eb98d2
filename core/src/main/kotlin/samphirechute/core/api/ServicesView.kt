package samphirechute.core.api

import kotlinx.serialization.Serializable
import samphirechute.core.service.ServiceSpec

/** The services in force at one instance. */
@Serializable
data class ServicesView(
    val revision: Long,
    val services: List<ServiceView>,
)

/** One service, with the number of upstreams that can answer it as far as the instance knows. */
@Serializable
data class ServiceView(
    val spec: ServiceSpec,
    val upstreams: Int = 0,
    val warmUpstreams: Int = 0,
)
