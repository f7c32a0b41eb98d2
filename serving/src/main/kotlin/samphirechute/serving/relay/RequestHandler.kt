package samphirechute.serving.relay

import samphirechute.core.RequestTrait
import samphirechute.core.time.Subscription
import samphirechute.net.Exchange
import samphirechute.serving.cluster.RevisionOutcome
import samphirechute.serving.cluster.Route
import samphirechute.serving.cluster.ServingConfig
import samphirechute.serving.cluster.Team
import kotlin.random.Random

/**
 * Handles the requests of callers at an entry instance. It finds the route and the team of each request, refuses those
 * without a route, an identifier or a key that they need, and starts a [Relay] for the others.
 *
 * Requests that arrive before the configuration is known are held for a short time instead of being refused, since most
 * callers retry only once.
 */
internal class RequestHandler(
    private val context: RelayContext,
    /** Passes on whether the configuration in use is the newest one. */
    private val confirmRevision: ((RevisionOutcome) -> Unit) -> Unit,
    private val random: Random = Random.Default,
) {
    private val timer = context.timer
    private val startingUntilMs = timer.nowMs() + STARTING_MS

    /** Requests that wait for the first configuration. */
    private val held = LinkedHashMap<Exchange, Held>()
    private var table: RouteTable? = null

    /** Requests that the configuration in use refuses for good, until it is known to be the newest one. */
    private val unconfirmed = LinkedHashMap<Exchange, CallerRequest>()

    /** The revision of the configuration in use, or null before the first one. */
    val revision: Long? get() = table?.config?.revision

    private val relays = LinkedHashSet<Relay>()

    private val stopAdmission = StopAdmission()
    private var hasEnded = false

    /** The number of accepted requests without a final answer. */
    val running: Int get() = relays.size

    /** The number of requests that wait for the first configuration. */
    val heldRequests: Int get() = held.size

    /** Puts a configuration into use and handles the held requests. */
    fun applyConfig(config: ServingConfig) {
        table = RouteTable(config)
        stopAdmission.retain(config.routes.mapTo(HashSet()) { it.name })
        val waiting = held.toMap()
        held.clear()
        waiting.forEach { (exchange, heldRequest) ->
            heldRequest.timeout.cancel()
            handle(exchange, heldRequest.arrivedMs)
        }
    }

    fun handle(exchange: Exchange) = handle(exchange, timer.nowMs())

    /** From now on refuses requests that cannot end before [stopsAtMs], see [StopAdmission]. */
    fun beginStop(stopsAtMs: Long) = stopAdmission.begin(timer.nowMs(), stopsAtMs)

    /**
     * Answers all requests that are still running or held, because the process ends now, and from now on refuses each that
     * arrives.
     */
    fun endAll() {
        hasEnded = true
        relays.toList().forEach { it.endWithProcess(stopAdmission::isLate) }
        val waiting = held.toMap()
        held.clear()
        waiting.forEach { (exchange, heldRequest) ->
            heldRequest.timeout.cancel()
            refuse(exchange, context.protocol.read(exchange.request), Refusal.Stopping)
        }
        val unanswered = unconfirmed.toMap()
        unconfirmed.clear()
        unanswered.forEach { (exchange, caller) -> refuse(exchange, caller, Refusal.Stopping) }
    }

    private fun handle(
        exchange: Exchange,
        arrivedMs: Long,
        isNewest: Boolean = false,
    ) {
        val request = exchange.request
        val caller = context.protocol.read(request)
        if (hasEnded) return refuse(exchange, caller, Refusal.Stopping)
        val current = table ?: return hold(exchange, caller, arrivedMs)
        val route = current.find(caller.host, request.sentPath)
        if (route == null) return refuseByNewest(exchange, caller, Refusal.NoRoute, arrivedMs, isNewest)
        if (caller.id == null) return refuse(exchange, caller, Refusal.MissingId)
        val team = caller.key?.let { current.config.teamsByKey[it] }
        if (team == null && requiresKey(current.config, route.isPublic)) {
            return refuseByNewest(exchange, caller, Refusal.UnknownKey, arrivedMs, isNewest)
        }
        if (!canEndInTime(route, caller)) return refuse(exchange, caller, Refusal.Stopping)
        val whole = wholeRequestTrait(request, caller.host, team?.name, caller.key)
        val accepted = accept(current, route, team, whole, caller.sharedParts)
        val relay = Relay(RelayedRequest(context, exchange, caller, accepted, arrivedMs), ::onEnd)
        relays += relay
        relay.start()
    }

    /** Returns whether the request can end before the process does, and logs that if the process stops. */
    private fun canEndInTime(
        route: Route,
        caller: CallerRequest,
    ): Boolean {
        val decision = stopAdmission.decide(route, caller.deadlineMs, timer.nowMs()) ?: return true
        context.log.event(
            if (decision.isAdmitted) "stop_admitted" else "stop_refused",
            mapOf(
                "request" to caller.id,
                "route" to route.name,
                "left_ms" to decision.leftMs,
                "needed_ms" to decision.neededMs,
                "basis" to decision.basis.name.lowercase(),
                "stop_age_ms" to decision.stopAgeMs,
            ),
        )
        return decision.isAdmitted
    }

    /**
     * Refuses a request for good if [isNewest], and otherwise handles it again once the newest configuration is in use, since
     * callers do not repeat a request after such a refusal.
     */
    private fun refuseByNewest(
        exchange: Exchange,
        caller: CallerRequest,
        refusal: Refusal,
        arrivedMs: Long,
        isNewest: Boolean,
    ) {
        if (isNewest) return refuse(exchange, caller, refusal)
        if (unconfirmed.size >= MAX_UNCONFIRMED) return refuse(exchange, caller, Refusal.Unconfirmed)
        unconfirmed[exchange] = caller
        exchange.onAborted = { unconfirmed -= exchange }
        confirmRevision { outcome ->
            if (unconfirmed.remove(exchange) == null) return@confirmRevision
            when (outcome) {
                RevisionOutcome.NEWEST -> handle(exchange, arrivedMs, isNewest = true)
                RevisionOutcome.UNKNOWN -> refuse(exchange, caller, Refusal.Unconfirmed)
            }
        }
    }

    private fun onEnd(relay: Relay) {
        relays -= relay
        relay.wholeAfterMs?.let { stopAdmission.record(relay.route, it) }
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
        whole: RequestTrait,
        sharedParts: Set<RequestTrait>,
    ) = AcceptedRequest(
        route,
        route.pickService(random),
        team.takeUnless { route.isPublic },
        current.config.revision,
        whole,
        sharedParts,
    )

    private fun requiresKey(
        config: ServingConfig,
        isPublic: Boolean,
    ) = config.hasTeams && !isPublic

    private fun refuse(
        exchange: Exchange,
        caller: CallerRequest,
        refusal: Refusal,
    ) {
        context.log.recordFinished("none", refusal.status, refusal.code)
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
        /** When all instances start together, they elect a leader and receive the configuration within this time. */
        const val STARTING_MS = 2_000L

        const val MAX_HELD = 64
        const val MAX_UNCONFIRMED = 256
    }
}
