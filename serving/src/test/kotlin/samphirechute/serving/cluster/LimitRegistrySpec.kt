package samphirechute.serving.cluster

import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.junit.jupiter.api.Nested
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.core.time.VirtualTimer
import samphirechute.routing.limit.LimitEvidence
import samphirechute.routing.limit.LimitStatement
import samphirechute.routing.limit.UpstreamLimits
import samphirechute.routing.placing.Placement
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class LimitRegistrySpec {
    private val timer = VirtualTimer(startMs = 100_000)
    private val limits = UpstreamLimits()
    private val registry = LimitRegistry(InstanceId("127.0.0.1:1"), timer, limits, PrometheusRegistry())
    private val shared = ArrayList<LimitEvidence>()
    private var requests = 0

    init {
        registry.onEvidence = { shared += it }
    }

    private fun observe(statement: LimitStatement) {
        val sentMs = timer.nowMs()
        timer.advanceBy(ANSWER_MS)
        registry.observe(UPSTREAM, statement, RequestId("r-${requests++}"), sentMs)
    }

    private fun granted(limitsPerS: Map<UpstreamId, Double> = emptyMap()) =
        Placement.Granted(UPSTREAM, HostPort("127.0.0.1", 2), limitsPerS = limitsPerS)

    @Nested
    inner class Sharing {
        /** Guards against a new coordinator that believes a limit whose end only the instances have seen. */
        @Test
        fun `a new coordinator is told of limits that have ended`() {
            observe(LimitStatement.Named(1.0))
            observe(LimitStatement.None)
            assertEquals(listOf(null), registry.all().map { it.requestsPerS })
        }

        @Test
        fun `a limit is shared when it is named, when it ends, and rarely between`() {
            repeat(10) { observe(LimitStatement.Named(1.0)) }
            observe(LimitStatement.None)
            assertEquals(listOf(1.0, null), shared.map { it.requestsPerS })
        }

        /** Guards against a coordinator that keeps a limit although the instance that uses the upstream knows better. */
        @Test
        fun `an answer without the limit that the coordinator kept is shared`() {
            assertTrue(registry.admits(granted(mapOf(UPSTREAM to 1.0))))
            observe(LimitStatement.None)
            assertEquals(listOf(null), shared.map { it.requestsPerS })
        }

        @Test
        fun `the ages of an answer are kept on the way to another instance`() {
            observe(LimitStatement.Named(1.0))
            timer.advanceBy(1_000)
            val notice = registry.all().single()
            assertEquals(1_000L + ANSWER_MS to 1_000L, notice.sentAgeMs to notice.answeredAgeMs)
        }
    }

    @Nested
    inner class UnreadableLimits {
        @Test
        fun `keep the limit that is believed and name none otherwise`() {
            observe(LimitStatement.Unreadable("nan"))
            assertNull(limits[UPSTREAM])
            observe(LimitStatement.Named(1.0))
            observe(LimitStatement.Unreadable("-1"))
            assertEquals(1.0, limits[UPSTREAM]?.requestsPerS)
        }
    }

    @Nested
    inner class GrantsOfACoordinator {
        /** Guards against a coordinator that has just taken over and grants without a limit. */
        @Test
        fun `that does not know the limit are used only within the limit`() {
            observe(LimitStatement.Named(1.0))
            assertFalse(registry.admits(granted()))
            timer.advanceBy(1_000)
            assertTrue(registry.admits(granted()))
            assertFalse(registry.admits(granted()))
        }

        @Test
        fun `that kept the limit are used`() {
            observe(LimitStatement.Named(1.0))
            repeat(5) { assertTrue(registry.admits(granted(mapOf(UPSTREAM to 1.0)))) }
        }
    }

    private companion object {
        val UPSTREAM = UpstreamId("engine-1")
        const val ANSWER_MS = 10L
    }
}
