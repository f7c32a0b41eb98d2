package samphirechute.serving.control

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import samphirechute.core.RequestId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.Clock
import samphirechute.routing.flow.RetryGrants
import samphirechute.routing.flow.RetryParts
import samphirechute.routing.placing.Placement
import samphirechute.routing.placing.PlacementRequest
import samphirechute.routing.placing.RefusedReason

/**
 * Grants retries to instances that have used up their own part of the retry budget, together with the placement of the
 * retry. [PlacementCoordinator] asks it before it places such a request and before it delivers a placement.
 */
class RetryDesk(
    retryFloor: Int,
    private val clock: Clock,
    /** The term in which this instance leads and has applied what was committed before, or null if it does not. */
    private val leadingTerm: () -> Long?,
    /** True while no configuration was ever committed; no entry instance has relayed a request before. */
    private val isUnused: () -> Boolean,
    registry: PrometheusRegistry,
) {
    private val grants = RetryGrants(RetryParts.ofCoordinator(retryFloor))
    private val decisions =
        Counter
            .builder()
            .name("samphirechute_retry_grants_total")
            .help("Decisions of this coordinator on retries for which an instance had no budget left, by outcome.")
            .labelNames("outcome")
            .register(registry)

    init {
        GaugeWithCallback
            .builder()
            .name("samphirechute_retry_grants_left")
            .help("Retries that this coordinator can still grant; 0 if it does not lead or has led for a short time.")
            .callback { it.call(grants.left(clock.nowMs()).toDouble()) }
            .register(registry)
    }

    /** Notes whether this instance leads. Called after each change of the store, and twice a second. */
    fun observeLeadership() {
        val term = leadingTerm()
        grants.setLeading(term, isFirst = term != null && isUnused(), clock.nowMs())
    }

    /** Returns the refusal of a request that needs a grant and gets none, otherwise null. */
    fun refuse(request: PlacementRequest): Placement.Refused? {
        if (!request.needsRetryGrant) return null
        observeLeadership()
        val nowMs = clock.nowMs()
        val isPromised = grants.promise(request.request, request.isCostlyToLose, nowMs + request.deadlineMs, nowMs)
        record(request, if (isPromised) "promised" else "refused")
        return if (isPromised) null else Placement.Refused(RefusedReason.RETRY_BUDGET, RETRY_AFTER_MS)
    }

    /** Returns [placement] with the grant, if the request needs one, and ends the promise if it is refused. */
    fun settle(
        request: PlacementRequest,
        placement: Placement,
    ): Placement {
        if (!request.needsRetryGrant) return placement
        if (placement !is Placement.Granted) {
            grants.giveBack(request.request)
            return placement
        }
        val isGranted = grants.settle(request.request, clock.nowMs())
        record(request, if (isGranted) "granted" else "expired")
        return placement.copy(hasRetryGrant = isGranted)
    }

    /** Ends the promise to a request that was withdrawn. */
    fun withdraw(request: RequestId) = grants.giveBack(request)

    private fun record(
        request: PlacementRequest,
        outcome: String,
    ) {
        decisions.labelValues(outcome).inc()
        log.event(
            "retry_decided",
            mapOf(
                "request" to request.request,
                "instance" to request.instance,
                "outcome" to outcome,
                "weight" to request.weight,
                "costly" to request.isCostlyToLose,
                "left" to grants.left(clock.nowMs()),
                "term" to leadingTerm(),
            ),
        )
    }

    private companion object {
        /** The caller's own retry; it usually goes to another instance, which may have a part left. */
        const val RETRY_AFTER_MS = 500L
        val log = KeyValueLog("retries")
    }
}
