package samphirechute.serving.control

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import samphirechute.core.RequestId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.Clock
import samphirechute.routing.placing.ExpectedWait
import samphirechute.routing.placing.Placement
import samphirechute.routing.placing.PlacementRequest
import samphirechute.routing.placing.QueueObserver

/**
 * Logs and counts the decisions on the queues of a control instance. Under overload each second brings thousands of
 * decisions, so at most [MAX_LINES_PER_S] are logged; the counters have all of them.
 */
internal class QueueLog(
    private val clock: Clock,
    registry: PrometheusRegistry,
    private val write: (String, Map<String, Any?>) -> Unit = KeyValueLog("queue")::event,
    private val waiting: () -> Int,
) : QueueObserver {
    private var secondStartMs = Long.MIN_VALUE / 2
    private var lines = 0
    private var omitted = 0
    private val decisions =
        Counter
            .builder()
            .name("samphirechute_queue_decisions_total")
            .help("Decisions on requests that could not be placed at once, by service, priority and outcome.")
            .labelNames("service", "priority", "outcome")
            .register(registry)
    private val waits =
        Histogram
            .builder()
            .name("samphirechute_queue_wait_seconds")
            .help("Time that granted requests had spent in the queue.")
            .labelNames("service")
            .classicOnly()
            .classicUpperBounds(*BOUNDS_SECONDS)
            .register(registry)

    init {
        GaugeWithCallback
            .builder()
            .name("samphirechute_queue_waiting")
            .help("Requests that wait in the queues of this instance.")
            .callback { it.call(waiting().toDouble()) }
            .register(registry)
    }

    override fun queued(
        request: PlacementRequest,
        expected: ExpectedWait,
    ) {
        count(request, "queued")
        log("queued", fields(request) + fields(expected))
    }

    override fun dequeued(
        request: PlacementRequest,
        placement: Placement,
        waitedMs: Long,
    ) {
        val outcome =
            when (placement) {
                is Placement.Granted -> "granted"
                is Placement.Refused -> placement.reason.name.lowercase()
            }
        count(request, outcome)
        if (placement is Placement.Granted) {
            waits.labelValues(request.service.value).observe(waitedMs / MS_PER_SECOND)
        }
        log("dequeued", fields(request) + mapOf("outcome" to outcome, "waited_ms" to waitedMs))
    }

    override fun withdrawn(
        request: RequestId,
        waitedMs: Long,
    ) = log("dequeued", mapOf("request_id" to request, "outcome" to "withdrawn", "waited_ms" to waitedMs))

    override fun refused(
        request: PlacementRequest,
        expected: ExpectedWait,
        refused: Placement.Refused,
        waitedMs: Long,
    ) {
        count(request, if (waitedMs == 0L) "refused" else "refused_waiting")
        val outcome = mapOf("waited_ms" to waitedMs, "retry_after_ms" to refused.retryAfterMs)
        log("queue_refused", fields(request) + fields(expected) + outcome)
    }

    private fun count(
        request: PlacementRequest,
        outcome: String,
    ) = decisions.labelValues(request.service.value, request.priority.toString(), outcome).inc()

    private fun fields(request: PlacementRequest) =
        mapOf(
            "request_id" to request.request,
            "service" to request.service,
            "team" to request.team,
            "priority" to request.priority,
            "prompt_tokens" to request.promptTokens,
        )

    private fun fields(expected: ExpectedWait) =
        mapOf(
            "expected_ms" to expected.waitMs,
            "work_ahead" to expected.workAhead.toLong(),
            "position" to expected.position,
        )

    private fun log(
        event: String,
        fields: Map<String, Any?>,
    ) {
        val nowMs = clock.nowMs()
        if (nowMs - secondStartMs >= MS_PER_SECOND) {
            if (omitted > 0) write("queue_lines_omitted", mapOf("lines" to omitted))
            secondStartMs = nowMs
            lines = 0
            omitted = 0
        }
        if (lines++ < MAX_LINES_PER_S) write(event, fields) else omitted++
    }

    internal companion object {
        /** About 40 KB of log each second. */
        const val MAX_LINES_PER_S = 200
        private const val MS_PER_SECOND = 1_000.0
        private val BOUNDS_SECONDS = doubleArrayOf(0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0)
    }
}
