package samphirechute.serving.relay

import samphirechute.core.ServiceName
import samphirechute.serving.cluster.Route
import samphirechute.serving.cluster.ServingConfig
import kotlin.random.Random

/** Finds the route of a request: among the routes of its host, the one with the longest path prefix that matches. */
internal class RouteTable(
    val config: ServingConfig,
) {
    private val byHost =
        config.routes.groupBy { it.host }.mapValues { (_, routes) ->
            routes.sortedByDescending { it.pathPrefix.length }
        }

    /**
     * Returns the route for [sentPath], or null. The port of [host] is ignored. The path is that which the upstream gets:
     * %2F is no separator, so a decoded path could match the prefix of a route to which the request does not belong.
     */
    fun find(
        host: String,
        sentPath: String,
    ): Route? = byHost[host.substringBefore(':').lowercase()]?.firstOrNull { sentPath.startsWith(it.pathPrefix) }
}

/** Picks one of the services of the route at random, by their weights. */
internal fun Route.pickService(random: Random): ServiceName {
    if (backends.size == 1) return backends.first().service
    var left = random.nextInt(backends.sumOf { it.weight })
    return backends
        .first {
            left -= it.weight
            left < 0
        }.service
}
