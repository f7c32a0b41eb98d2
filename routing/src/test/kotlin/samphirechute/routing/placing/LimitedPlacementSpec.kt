package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.routing.limit.LimitEvidence
import samphirechute.routing.limit.UpstreamLimits
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Tests placements on upstreams that have named the rate of requests that they take. */
class LimitedPlacementSpec {
    private val limits = UpstreamLimits()
    private var answers = 0

    private fun PlacingFixture.limit(
        engine: Int,
        requestsPerS: Double?,
    ) {
        val id = UpstreamId("engine-$engine")
        val evidence =
            LimitEvidence(id, requestsPerS, nowMs, nowMs, RequestId("r-${answers++}"), PlacingFixture.INSTANCE)
        limits.record(evidence, nowMs)
    }

    private fun Placement.Granted.engines() = listOf(upstream) + helpers.map { it.upstream }

    @Nested
    inner class OneLimitedUpstream {
        private val fixture = PlacingFixture(2, limits = limits)

        @Test
        fun `requests beyond its limit go to another one`() {
            fixture.limit(0, 1.0)
            val used =
                (0 until REQUESTS).mapNotNull {
                    fixture.nowMs += WINDOW_MS / REQUESTS
                    val request = fixture.short()
                    val granted = fixture.place(request) as? Placement.Granted ?: return@mapNotNull null
                    fixture.end(request, granted.upstream)
                    granted.upstream.value
                }
            assertEquals(REQUESTS, used.size)
            assertTrue(used.count { it == "engine-0" } in 3..5, "$used")
        }

        /** Guards against parts of prompts that a limited engine gets beyond its limit. */
        @Test
        fun `a part of a prompt counts as a request`() {
            fixture.limit(0, 1.0)
            fixture.nowMs += 1_000
            val request = fixture.long()
            val granted = fixture.granted(request)
            assertTrue(UpstreamId("engine-0") in granted.engines())
            assertEquals(mapOf(UpstreamId("engine-0") to 1.0), granted.limitsPerS)
            fixture.end(request, granted.upstream)
            assertEquals(listOf(UpstreamId("engine-1")), fixture.granted(fixture.short()).engines())
        }

        @Test
        fun `requests that another placer has just sent count`() {
            fixture.limit(0, 1.0)
            fixture.nowMs += 1_000
            fixture.placer.recordPlacement(fixture.short(), UpstreamId("engine-0"), fixture.nowMs, isJustSent = true)
            assertTrue(limits.waitMs(UpstreamId("engine-0"), fixture.nowMs) > 0)
        }

        @Test
        fun `it gets its usual part again once it names no limit`() {
            fixture.limit(0, 0.0)
            fixture.limit(0, null)
            val used = (0 until 20).map { fixture.granted(fixture.short()).upstream.value }.toSet()
            assertEquals(setOf("engine-0", "engine-1"), used)
        }

        @Test
        fun `it is no other upstream for a stream that stalls while it takes no request`() {
            fixture.limit(0, 1.0)
            val excluded = setOf(UpstreamId("engine-1"))
            assertEquals(false, fixture.placer.hasOpen(PlacingFixture.SERVICE, excluded, fixture.nowMs))
            assertEquals(true, fixture.placer.hasOpen(PlacingFixture.SERVICE, excluded, fixture.nowMs + 1_000))
        }

        /** Guards against orders to reserve and renew memory, which are requests beyond the limit. */
        @Test
        fun `it reserves no memory for a prompt that another engine answers`() {
            fixture.limit(1, 100.0)
            fixture.nowMs += 1_000
            val placement = fixture.place(fixture.long(promptTokens = 600_000))
            val holders = (placement as? Placement.Granted)?.helpers.orEmpty().filter { it.reservedTokens > 0 }
            assertTrue(holders.none { it.upstream == UpstreamId("engine-1") })
        }
    }

    @Nested
    inner class AllLimited {
        private val fixture = PlacingFixture(2, limits = limits)

        @Test
        fun `a request that the limits let through in time waits`() {
            repeat(2) { fixture.limit(it, 1.0) }
            val request = fixture.short()
            assertNull(fixture.place(request))
            fixture.nowMs += 1_000
            assertEquals(listOf(request), fixture.placer.tick(fixture.nowMs).map { it.request })
        }

        @Test
        fun `others are refused at once, each with a later time to come back`() {
            repeat(2) { fixture.limit(it, 0.5) }
            val refused = (0 until 5).map { fixture.place(fixture.short()) }.filterIsInstance<Placement.Refused>()
            assertEquals(5, refused.size)
            assertTrue(refused.all { it.reason == RefusedReason.LIMITED })
            assertEquals(listOf(2_000L, 3_000L, 4_000L, 5_000L, 6_000L), refused.map { it.retryAfterMs })
        }

        /** Guards against callers that wait until their deadline for an upstream that takes nothing. */
        @Test
        fun `a request whose upstreams take nothing is refused at once`() {
            repeat(2) { fixture.limit(it, 0.0) }
            assertIs<Placement.Refused>(fixture.place(fixture.short()))
        }
    }

    private companion object {
        const val REQUESTS = 100
        const val WINDOW_MS = 4_000L
    }
}
