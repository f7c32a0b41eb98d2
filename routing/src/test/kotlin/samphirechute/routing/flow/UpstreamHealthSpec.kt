package samphirechute.routing.flow

import org.junit.jupiter.api.Nested
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import kotlin.test.Test
import kotlin.test.assertEquals

class UpstreamHealthSpec {
    private val health = UpstreamHealth()
    private val failed = UpstreamId("e1")

    private fun isExcluded(
        request: String,
        nowMs: Long,
        mayProbe: Boolean = true,
    ) = failed in health.excludedFor(RequestId(request), mayProbe, nowMs)

    @Nested
    inner class Probe {
        /** Guards against all waiting requests, or one that may not be repeated, trying a broken upstream at once. */
        @Test
        fun `one repeatable request at a time tries an upstream after its exclusion`() {
            health.recordFailure(failed, nowMs = 0)
            assertEquals(true, isExcluded("r1", 999))
            assertEquals(true, isExcluded("r1", 1_000, mayProbe = false))
            assertEquals(false, isExcluded("r1", 1_000))
            assertEquals(true, isExcluded("r2", 1_000))
            health.recordSuccess(failed)
            assertEquals(false, isExcluded("r2", 1_000))
        }

        /** Guards against an upstream that is never probed because the prober was sent elsewhere. */
        @Test
        fun `a probe that was not used passes to the next request`() {
            health.recordFailure(failed, nowMs = 0)
            assertEquals(false, isExcluded("r1", 1_000))
            health.endUnusedProbes(RequestId("r1"), UpstreamId("e2"))
            assertEquals(false, isExcluded("r2", 1_000))
        }
    }

    @Nested
    inner class Length {
        /** Guards against constant probing of a dead upstream, and against one crash counted once per request. */
        @Test
        fun `doubles with each failed probe and counts requests that fail together once`() {
            repeat(50) { health.recordFailure(failed, nowMs = 0) }
            assertEquals(false, isExcluded("r1", 1_000))
            health.recordFailure(failed, nowMs = 1_100)
            assertEquals(true, isExcluded("r2", 3_099))
            assertEquals(false, isExcluded("r2", 3_100))
        }
    }
}
