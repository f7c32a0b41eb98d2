package samphirechute.serving.relay

import samphirechute.core.RequestTrait
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.net.Exchange
import samphirechute.routing.placing.PlacementOutcome
import samphirechute.routing.placing.PlacementRequest
import samphirechute.routing.placing.PlacementResult
import samphirechute.serving.cluster.Repeatability
import samphirechute.serving.cluster.Route
import samphirechute.serving.cluster.Team
import kotlin.math.max
import kotlin.math.min

/** What is fixed about a request while a [Relay] handles it: its caller, its route, and the time that it has. */
internal class RelayedRequest(
    val context: RelayContext,
    val exchange: Exchange,
    val caller: CallerRequest,
    val accepted: AcceptedRequest,
    val arrivedMs: Long,
) {
    val route = accepted.route
    val id = checkNotNull(caller.id) { "a request without an identifier was accepted" }
    val isRepeatable = route.repeatability == Repeatability.REPEATABLE
    private val untilMs = arrivedMs + min(caller.deadlineMs ?: Long.MAX_VALUE / 4, route.timeoutMs)

    val nowMs: Long get() = context.timer.nowMs()
    val elapsedMs: Long get() = nowMs - arrivedMs
    val remainingMs: Long get() = max(1, untilMs - nowMs)

    /** The parts of the prompt, as many of them as a log line names. */
    val loggedParts get() = caller.sharedParts.take(MAX_LOGGED_PARTS)

    fun log(
        event: String,
        fields: Map<String, Any?>,
    ) = context.log.event(event, mapOf("request" to id) + fields)

    fun result(
        target: UpstreamId,
        outcome: PlacementOutcome,
        firstByteMs: Long?,
    ) = PlacementResult(id, target, outcome, firstByteMs, context.settings.failureDomain)

    /** Returns the request for a placement outside [excluded], with a retry if [needsRetryGrant]. */
    fun placementRequest(
        excluded: Set<UpstreamId>,
        stream: RelayedStream,
        needsRetryGrant: Boolean,
    ) = PlacementRequest(
        id,
        context.settings.instance,
        context.settings.failureDomain,
        accepted.service,
        accepted.team?.name,
        accepted.team?.priority ?: route.priority,
        caller.promptTokens,
        caller.answerTokens,
        route.targetMs,
        route.targetGapMs,
        remainingMs,
        excluded,
        stream.waitedMs,
        hasBegun = stream.hasBegun,
        traits = accepted.traits,
        needsRetryGrant = needsRetryGrant,
    )

    /** Reports that a placement has ended, or that an upstream failed the request. */
    fun reportEnd(
        target: UpstreamId,
        outcome: PlacementOutcome,
    ) = context.placementClient.reportEnd(result(target, outcome, null))

    companion object {
        const val MAX_LOGGED_PARTS = 16
    }
}

/** The route, service and team of an accepted request, from the configuration at [revision]. */
internal class AcceptedRequest(
    val route: Route,
    val service: ServiceName,
    val team: Team?,
    val revision: Long,
    /** What only repeats of this request by the same caller have. */
    val wholeRequest: RequestTrait,
    sharedParts: Set<RequestTrait>,
) {
    /** What tells this request from others, or has it in common with them, if upstreams end under it. */
    val traits: Set<RequestTrait> = sharedParts + wholeRequest
}
