package samphirechute.serving.relay

import samphirechute.core.ServiceName
import samphirechute.serving.cluster.Route
import samphirechute.serving.cluster.ServingConfig
import kotlin.random.Random

/** Finds the route of a request: among those of its host, the one with the longest prefix of its path. */
internal class RouteTable(
    val config: ServingConfig,
) {
    private val byHost =
        config.routes.groupBy { it.host }.mapValues { (_, routes) ->
            routes.sortedByDescending { it.pathPrefix.length }
        }

    fun find(
        host: String,
        path: String,
    ): Route? = byHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
}

/** Draws a service by the weights of the route. */
internal fun Route.pickService(random: Random): ServiceName {
    if (backends.size == 1) return backends.first().service
    var left = random.nextInt(backends.sumOf { it.weight })
    return backends
        .first {
            left -= it.weight
            left < 0
        }.service
}
