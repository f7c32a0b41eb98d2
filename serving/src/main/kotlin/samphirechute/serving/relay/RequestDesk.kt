package samphirechute.serving.relay

import samphirechute.net.Exchange
import samphirechute.serving.cluster.Route
import samphirechute.serving.cluster.ServingConfig
import samphirechute.serving.cluster.Team
import kotlin.random.Random

/** Takes requests of callers: finds the route and the team of each, refuses what has none, and relays the rest. */
internal class RequestDesk(
    private val context: RelayContext,
    private val random: Random = Random.Default,
) {
    private var table: RouteTable? = null

    /** Requests that have no final answer yet. */
    var running = 0
        private set

    fun configured(config: ServingConfig) {
        table = RouteTable(config)
    }

    fun handle(exchange: Exchange) {
        val request = exchange.request
        val caller = context.protocol.read(request)
        val current = table ?: return refuse(exchange, caller, Refusal.NotReady)
        val route = current.find(caller.host, request.path) ?: return refuse(exchange, caller, Refusal.NoRoute)
        if (caller.id == null) return refuse(exchange, caller, Refusal.MissingId)
        val team = caller.key?.let { current.config.teamsByKey[it] }
        if (team == null && isKeyNeeded(current.config, route.isPublic)) {
            return refuse(exchange, caller, Refusal.UnknownKey)
        }
        running++
        val accepted = accept(current, route, team)
        Relay(context, exchange, caller, accepted) { running-- }.start()
    }

    private fun accept(
        current: RouteTable,
        route: Route,
        team: Team?,
    ) = Accepted(route, route.drawService(random), team.takeUnless { route.isPublic }, current.config.revision)

    private fun isKeyNeeded(
        config: ServingConfig,
        isPublic: Boolean,
    ) = config.hasTeams && !isPublic

    private fun refuse(
        exchange: Exchange,
        caller: CallerRequest,
        refusal: Refusal,
    ) {
        context.log.finished("none", refusal.status, refusal.code)
        context.log.event(
            "refused",
            mapOf(
                "request" to caller.id,
                "status" to refusal.status,
                "reason" to refusal.code,
                "revision" to table?.config?.revision,
            ),
        )
        exchange.answerWith(refusal)
    }
}
