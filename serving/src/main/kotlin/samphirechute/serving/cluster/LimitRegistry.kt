package samphirechute.serving.cluster

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.Clock
import samphirechute.routing.limit.LimitBeliefs
import samphirechute.routing.limit.LimitEvidence
import samphirechute.routing.limit.LimitStatement

/**
 * The limits that this instance believes upstreams to have, with a log line for each change and metrics that say from
 * which answer each limit is and how old that answer is.
 */
class LimitRegistry(
    private val self: InstanceId,
    private val clock: Clock,
    registry: PrometheusRegistry,
) {
    private val beliefs = LimitBeliefs()

    init {
        gauge(
            registry,
            "samphirechute_upstream_limit_requests_per_second",
            "The rate of requests that an upstream says it takes from all instances together.",
        ) { it.requestsPerS ?: 0.0 }
        gauge(
            registry,
            "samphirechute_upstream_limit_age_seconds",
            "The age of the answer that the limit of an upstream is believed from.",
        ) { (clock.nowMs() - it.answeredMs) / MS_PER_SECOND }
    }

    /** Takes in what the answer to [request], which was sent at [sentMs], says about the limit of [upstream]. */
    fun observe(
        upstream: UpstreamId,
        statement: LimitStatement,
        request: RequestId,
        sentMs: Long,
    ) {
        val requestsPerS =
            when (statement) {
                is LimitStatement.None -> null
                is LimitStatement.Named -> statement.requestsPerS
                is LimitStatement.Unreadable -> unreadableLimit(upstream, statement, request) ?: return
            }
        record(LimitEvidence(upstream, requestsPerS, sentMs, clock.nowMs(), request, self))
    }

    private fun record(evidence: LimitEvidence) {
        val change = beliefs.record(evidence) ?: return
        beliefs.forgetEnded(clock.nowMs())
        log.event(
            if (evidence.requestsPerS == null) "limit_ended" else "limit_named",
            mapOf(
                "upstream" to evidence.upstream,
                "per_s" to evidence.requestsPerS,
                "before_per_s" to change.beforePerS,
                "request" to evidence.request,
                "answered_by" to evidence.instance,
                "age_ms" to clock.nowMs() - evidence.answeredMs,
            ),
        )
    }

    /** Returns the limit that holds on while the upstream names one that cannot be read, or null if there is none. */
    private fun unreadableLimit(
        upstream: UpstreamId,
        statement: LimitStatement.Unreadable,
        request: RequestId,
    ): Double? {
        val requestsPerS = beliefs[upstream]?.requestsPerS
        log.warn(
            "limit_unreadable",
            mapOf("upstream" to upstream, "value" to statement.text, "request" to request, "per_s" to requestsPerS),
        )
        return requestsPerS
    }

    private fun gauge(
        registry: PrometheusRegistry,
        name: String,
        help: String,
        value: (LimitEvidence) -> Double,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .labelNames("upstream", "request", "answered_by")
            .callback { callback ->
                beliefs.all().forEach {
                    callback.call(value(it), it.upstream.value, it.request.value, it.instance.value)
                }
            }.register(registry)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        val log = KeyValueLog("limits")
    }
}
