package samphirechute.routing.limit

import org.junit.jupiter.api.Nested
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class UpstreamLimitsSpec {
    private var nextRequest = 1

    private fun UpstreamLimits.name(
        requestsPerS: Double?,
        nowMs: Long,
    ) = record(
        LimitEvidence(
            UPSTREAM,
            requestsPerS,
            nowMs,
            nowMs,
            RequestId("r-${nextRequest++}"),
            InstanceId("127.0.0.1:1"),
        ),
        nowMs,
    )

    /** Lets all placers send as often as they may until [untilMs]; returns the times of the requests. */
    private fun flood(
        placers: List<UpstreamLimits>,
        fromMs: Long,
        untilMs: Long,
    ): List<Long> =
        (fromMs..untilMs step STEP_MS).flatMap { nowMs ->
            placers.filter { it.waitMs(UPSTREAM, nowMs) == 0L }.map {
                it.charge(UPSTREAM, nowMs)
                nowMs
            }
        }

    /** Returns the most requests within any span of [WINDOW_MS]. */
    private fun most(times: List<Long>) =
        times.maxOfOrNull { from -> times.count { it in from..from + WINDOW_MS } } ?: 0

    /** What the users allow in [WINDOW_MS]. */
    private fun allowed(requestsPerS: Double) = (1.5 * requestsPerS * WINDOW_MS / 1_000 + 5).toInt()

    @Nested
    inner class OnePlacer {
        @Test
        fun `no more requests are sent than any limit allows, and few less`() {
            for (requestsPerS in LIMITS) {
                val limits = UpstreamLimits().apply { name(requestsPerS, 0) }
                val times = flood(listOf(limits), 0, FLOOD_MS)
                assertTrue(most(times) <= allowed(requestsPerS), "$requestsPerS a second: ${most(times)}")
                assertTrue(times.size >= (requestsPerS * FLOOD_MS / 1_000 * 0.9).toInt(), "$requestsPerS a second")
            }
        }

        /** Guards against a limit of 0 that never ends because no answer can show its end. */
        @Test
        fun `an upstream that takes nothing still gets a request now and then`() {
            val limits = UpstreamLimits().apply { name(0.0, 0) }
            assertTrue(flood(listOf(limits), 0, FLOOD_MS).isNotEmpty())
        }

        @Test
        fun `nothing is held back once the limit has ended`() {
            val limits = UpstreamLimits().apply { name(0.0, 0) }
            limits.name(null, 100)
            assertEquals(0, limits.waitMs(UPSTREAM, 100))
        }

        /** Guards against a limit that each new coordinator keeps for a whole interval after it has ended. */
        @Test
        fun `a new coordinator may send as soon as one interval has passed since the answer`() {
            var count = 3
            val limits = UpstreamLimits(Random(1)) { count }.apply { name(0.5, 0) }
            count = 1
            assertEquals(1_500, limits.waitMs(UPSTREAM, 500))
            count = 3
            limits.waitMs(UPSTREAM, 600)
            count = 1
            assertEquals(0, limits.waitMs(UPSTREAM, 5_000))
        }

        /** Guards against a wait at the old rate after an upstream has said that it takes more again. */
        @Test
        fun `a higher limit holds at once`() {
            val limits = UpstreamLimits().apply { name(0.25, 0) }
            limits.name(20.0, 100)
            assertTrue(limits.waitMs(UPSTREAM, 100) <= 50)
        }

        /** Guards against a limit that changes a little with each answer and lets nothing through. */
        @Test
        fun `a limit that changes with each answer still lets its rate through`() {
            val limits = UpstreamLimits()
            var sent = 0
            for (nowMs in 0L..FLOOD_MS) {
                if (nowMs % 50 == 0L) limits.name(18.0 + nowMs / 50 % 5, nowMs)
                if (limits.waitMs(UPSTREAM, nowMs) > 0) continue
                limits.charge(UPSTREAM, nowMs)
                sent++
            }
            assertTrue(sent >= 18 * FLOOD_MS / 1_000 / 2, "$sent")
            assertTrue(sent <= allowed(22.0) * FLOOD_MS / WINDOW_MS, "$sent")
        }

        @Test
        fun `requests that others have sent count, but not for ever`() {
            val limits = UpstreamLimits().apply { name(1.0, 0) }
            repeat(100) { limits.charge(UPSTREAM, 10) }
            assertTrue(limits.waitMs(UPSTREAM, 10) in 4_000L..5_000L)
        }
    }

    @Nested
    inner class SharedByPlacers {
        @Test
        fun `placers that do not see each other keep to the limit together`() {
            for (seed in 1..SEEDS) {
                for (count in listOf(2, 15, 95)) {
                    for (requestsPerS in LIMITS) {
                        val random = Random(seed)
                        val placers = List(count) { UpstreamLimits(random) { count }.apply { name(requestsPerS, 0) } }
                        val times = flood(placers, 0, FLOOD_MS)
                        val most = most(times)
                        assertTrue(
                            most <= allowed(requestsPerS),
                            "seed $seed: $most by $count at $requestsPerS a second",
                        )
                    }
                }
            }
        }

        /** Guards against members of the store that all send at once when they lose their leader. */
        @Test
        fun `placers that begin to share a limit do not all send at once`() {
            var count = 1
            val placers = List(8) { UpstreamLimits(Random(it)) { count }.apply { name(0.0, 0) } }
            assertTrue(placers.all { it.waitMs(UPSTREAM, LONG_AFTER_MS) == 0L })
            count = placers.size
            val times = flood(placers, LONG_AFTER_MS, LONG_AFTER_MS + WINDOW_MS)
            assertTrue(times.size <= allowed(0.0), "${times.size}")
        }
    }

    private companion object {
        val UPSTREAM = UpstreamId("engine-1")
        val LIMITS = listOf(0.0, 0.25, 1.0, 1.7, 5.0, 20.0)
        const val WINDOW_MS = 4_000L
        const val STEP_MS = 5L
        const val FLOOD_MS = 20_000L
        const val LONG_AFTER_MS = 60_000L
        const val SEEDS = 20
    }
}
