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

    /** Returns the route for [path], or null. The port of [host] is ignored. */
    fun find(
        host: String,
        path: String,
    ): Route? = byHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
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
