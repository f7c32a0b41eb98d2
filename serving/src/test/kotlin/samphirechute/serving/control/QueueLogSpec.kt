package samphirechute.serving.control

import io.prometheus.metrics.model.registry.PrometheusRegistry
import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.core.time.Clock
import samphirechute.routing.placing.ExpectedWait
import samphirechute.routing.placing.Placement
import samphirechute.routing.placing.PlacementRequest
import samphirechute.routing.placing.RefusedReason
import kotlin.test.Test
import kotlin.test.assertEquals

class QueueLogSpec {
    private var nowMs = 0L
    private val lines = ArrayList<Pair<String, Map<String, Any?>>>()
    private val clock =
        object : Clock {
            override fun nowMs() = this@QueueLogSpec.nowMs
        }
    private val log = QueueLog(clock, PrometheusRegistry(), { event, fields -> lines += event to fields }) { 0 }
    private val request =
        PlacementRequest(
            RequestId("r-1"),
            InstanceId("i-1"),
            FailureDomain("a"),
            ServiceName("drafts"),
            TeamName("team"),
            priority = 2,
            targetMs = 300,
            deadlineMs = 10_000,
        )
    private val refused = Placement.Refused(RefusedReason.OVERLOADED, 700)

    @Test
    fun `a refusal names what it was decided from`() {
        log.refused(request, ExpectedWait(2_500, 12, 30_000.0), refused, waitedMs = 400)
        val (event, fields) = lines.single()
        assertEquals("queue_refused", event)
        val expected =
            mapOf(
                "priority" to "2",
                "expected_ms" to "2500",
                "work_ahead" to "30000",
                "position" to "12",
                "retry_after_ms" to "700",
            )
        assertEquals(expected, fields.filterKeys { it in expected }.mapValues { it.value.toString() })
    }

    /** Guards against a log that grows with the overload it reports. */
    @Test
    fun `lines are bounded for each second, and those left out are counted`() {
        repeat(5_000) { log.refused(request, ExpectedWait(2_500, 12, 30_000.0), refused, waitedMs = 0) }
        assertEquals(QueueLog.MAX_LINES_PER_S, lines.size)
        nowMs += 1_000
        log.queued(request, ExpectedWait(0, 0, 0.0))
        assertEquals("queue_lines_omitted" to mapOf("lines" to 4_800), lines[QueueLog.MAX_LINES_PER_S])
    }
}
