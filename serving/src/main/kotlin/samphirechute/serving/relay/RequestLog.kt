package samphirechute.serving.relay

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import samphirechute.core.log.KeyValueLog

/** Writes the log lines and metrics of relayed requests, with one line for each decision. */
class RequestLog(
    registry: PrometheusRegistry,
) {
    private val log = KeyValueLog("relay")
    private val finished =
        Counter
            .builder()
            .name("samphirechute_relayed_total")
            .help("Requests that got their final answer, by route, status and reason.")
            .labelNames("route", "status", "reason")
            .register(registry)
    private val firstByte =
        Histogram
            .builder()
            .name("samphirechute_first_byte_seconds")
            .help("Time from the arrival of a request to the first byte of its answer.")
            .labelNames("route")
            .classicOnly()
            .classicUpperBounds(*BOUNDS_SECONDS)
            .register(registry)
    private val attempts =
        Counter
            .builder()
            .name("samphirechute_attempts_total")
            .help("Requests sent to upstreams, by outcome.")
            .labelNames("outcome")
            .register(registry)

    fun event(
        event: String,
        fields: Map<String, Any?>,
    ) = log.event(event, fields)

    fun recordFinished(
        route: String,
        status: Int,
        reason: String,
    ) = finished.labelValues(route, status.toString(), reason).inc()

    fun recordFirstByte(
        route: String,
        afterMs: Long,
    ) = firstByte.labelValues(route).observe(afterMs / MS_PER_SECOND)

    fun recordAttempt(outcome: String) = attempts.labelValues(outcome).inc()

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        val BOUNDS_SECONDS = doubleArrayOf(0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1.1, 1.5, 3.0, 6.0, 12.0)
    }
}
