package samphirechute.serving.relay

import samphirechute.core.time.Subscription
import samphirechute.net.Exchange
import samphirechute.serving.cluster.Route
import samphirechute.serving.cluster.ServingConfig
import samphirechute.serving.cluster.Team
import kotlin.random.Random

/**
 * Takes requests of callers: finds the route and the team of each, refuses what has none, and relays the rest. Those that
 * arrive while the process starts wait a moment for the configuration, since most callers come back only once.
 */
internal class RequestHandler(
    private val context: RelayContext,
    private val random: Random = Random.Default,
) {
    private val timer = context.timer
    private val startingUntilMs = timer.nowMs() + STARTING_MS
    private val held = LinkedHashMap<Exchange, Held>()
    private var table: RouteTable? = null

    val revision: Long? get() = table?.config?.revision

    /** Requests that have no final answer yet. */
    var running = 0
        private set

    fun applyConfig(config: ServingConfig) {
        table = RouteTable(config)
        val waiting = held.toMap()
        held.clear()
        waiting.forEach { (exchange, since) ->
            since.timeout.cancel()
            handle(exchange, since.arrivedMs)
        }
    }

    fun handle(exchange: Exchange) = handle(exchange, timer.nowMs())

    private fun handle(
        exchange: Exchange,
        arrivedMs: Long,
    ) {
        val request = exchange.request
        val caller = context.protocol.read(request)
        val current = table ?: return hold(exchange, caller, arrivedMs)
        val route = current.find(caller.host, request.path) ?: return refuse(exchange, caller, Refusal.NoRoute)
        if (caller.id == null) return refuse(exchange, caller, Refusal.MissingId)
        val team = caller.key?.let { current.config.teamsByKey[it] }
        if (team == null && isKeyNeeded(current.config, route.isPublic)) {
            return refuse(exchange, caller, Refusal.UnknownKey)
        }
        running++
        val accepted = accept(current, route, team)
        Relay(context, exchange, caller, accepted, arrivedMs) { running-- }.start()
    }

    private fun hold(
        exchange: Exchange,
        caller: CallerRequest,
        arrivedMs: Long,
    ) {
        val leftMs = startingUntilMs - arrivedMs
        if (leftMs <= 0 || held.size >= MAX_HELD) return refuse(exchange, caller, Refusal.NotReady)
        val timeout =
            timer.after(leftMs) {
                held -= exchange
                refuse(exchange, caller, Refusal.NotReady)
            }
        held[exchange] = Held(arrivedMs, timeout)
        exchange.onAborted = {
            timeout.cancel()
            held -= exchange
        }
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

    private class Held(
        val arrivedMs: Long,
        val timeout: Subscription,
    )

    private companion object {
        /** A system that starts as a whole elects a leader and learns the configuration within this time. */
        const val STARTING_MS = 2_000L
        const val MAX_HELD = 64
    }
}
