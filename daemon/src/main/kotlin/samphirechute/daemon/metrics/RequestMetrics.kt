package samphirechute.daemon.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import samphirechute.daemon.caller.RequestDraft
import samphirechute.routing.flow.FlowOutcome

/** The metrics of requests. Time to first token is kept by prompt length, team and urgency. */
internal class RequestMetrics(
    registry: PrometheusRegistry,
) {
    private val firstToken =
        Histogram
            .builder()
            .name("samphirechute_first_token_seconds")
            .help("Time from the acceptance of a request to its first token.")
            .labelNames("prompt", "team", "urgency")
            .classicOnly()
            .classicUpperBounds(*BOUNDS_SECONDS)
            .register(registry)
    private val finished =
        Counter
            .builder()
            .name("samphirechute_requests_total")
            .help("Requests that got their final answer, by outcome.")
            .labelNames("service", "run_state", "code")
            .register(registry)
    private val refused =
        Counter
            .builder()
            .name("samphirechute_refused_total")
            .help("Requests refused before admission, by code.")
            .labelNames("code")
            .register(registry)
    private val tokens =
        Counter
            .builder()
            .name("samphirechute_tokens_total")
            .help("Tokens passed on to callers.")
            .register(registry)

    fun firstToken(
        draft: RequestDraft,
        afterMs: Long,
    ) {
        val spec = draft.service
        firstToken
            .labelValues(band(draft.promptTokens), spec.team.value, spec.urgency.name.lowercase())
            .observe(afterMs / MS_PER_SECOND)
    }

    fun tokens(count: Int) = tokens.inc(count.toDouble())

    fun finished(
        draft: RequestDraft,
        outcome: FlowOutcome,
    ) = finished.labelValues(draft.service.name.value, outcome.runState.wireName, outcome.code ?: "ok").inc()

    fun refused(code: String) = refused.labelValues(code).inc()

    private fun band(promptTokens: Long) = BANDS.first { (limit, _) -> promptTokens <= limit }.second

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        val BOUNDS_SECONDS = doubleArrayOf(0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 5.0, 10.0, 30.0, 60.0)
        val BANDS =
            listOf(
                1_000L to "to_1k",
                10_000L to "to_10k",
                100_000L to "to_100k",
                Long.MAX_VALUE to "over_100k",
            )
    }
}
