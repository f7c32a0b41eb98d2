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
        /** Guards against many requests, or a non-repeatable one, probing a broken upstream. */
        @Test
        fun `one repeatable request at a time probes an upstream after its exclusion`() {
            health.recordFailure(failed, nowMs = 0)
            assertEquals(true, isExcluded("r1", 999))
            assertEquals(true, isExcluded("r1", 1_000, mayProbe = false))
            assertEquals(false, isExcluded("r1", 1_000))
            assertEquals(true, isExcluded("r2", 1_000))
            health.recordSuccess(failed)
            assertEquals(false, isExcluded("r2", 1_000))
        }

        /** Guards against an upstream that is never probed because the probing request used another one. */
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
        /** Guards against constant probing of a dead upstream, and against counting one crash once per request. */
        @Test
        fun `the exclusion doubles with each failed probe, and requests that fail together count once`() {
            repeat(50) { health.recordFailure(failed, nowMs = 0) }
            assertEquals(false, isExcluded("r1", 1_000))
            health.recordFailure(failed, nowMs = 1_100)
            assertEquals(true, isExcluded("r2", 3_099))
            assertEquals(false, isExcluded("r2", 3_100))
        }
    }
}
