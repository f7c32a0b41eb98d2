package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

/**
 * Tests requests that are placed again after their target has passed, because an upstream lost their answer or is gone.
 */
class RetriedPromptSpec {
    private fun PlacingFixture.place(
        request: PlacementRequest,
        elapsedMs: Long,
        hasBegun: Boolean = false,
    ) = placer.place(request.copy(elapsedMs = elapsedMs, hasBegun = hasBegun), nowMs)

    @Nested
    inner class LongPrompts {
        /** Guards against queueing a retried prompt until its caller gives up, while engines are free. */
        @Test
        fun `whose target has passed are placed at once on free engines`() {
            val fixture = PlacingFixture(engines = 8)
            val granted = assertIs<Placement.Granted>(fixture.place(fixture.long(), elapsedMs = 4_000))
            assertTrue(granted.firstByteMs + 4_000 < fixture.long().abandonAfterMs)
        }

        @Test
        fun `whose answer has begun are continued at once, also on engines with other requests`() {
            val fixture = PlacingFixture(engines = 8)
            repeat(4) {
                fixture.nowMs += 500
                fixture.granted(fixture.medium())
            }
            assertIs<Placement.Granted>(fixture.place(fixture.long(), elapsedMs = 1_400, hasBegun = true))
        }

        /** Guards short requests on the same engine: a late answer is worth only a quarter of one in time. */
        @Test
        fun `wait rather than delay many short ones`() {
            val fixture = PlacingFixture(engines = 1)
            repeat(10) {
                fixture.nowMs += 60
                fixture.granted(fixture.short())
            }
            fixture.nowMs += 100
            assertNull(fixture.place(fixture.long(), elapsedMs = 4_000))
        }

        @Test
        fun `whose caller is about to give up are refused at once`() {
            val fixture = PlacingFixture(engines = 1)
            fixture.granted(fixture.long())
            val refused = assertIs<Placement.Refused>(fixture.place(fixture.long(), elapsedMs = 11_000))
            assertEquals(RefusedReason.EXPIRED, refused.reason)
            assertTrue(refused.retryAfterMs > 0)
        }
    }

    @Nested
    inner class MediumPrompts {
        /** Keeps engines free of decoding requests, so that long prompts can be prefilled there without harm. */
        @Test
        fun `are packed onto engines without prefill`() {
            val fixture = PlacingFixture(engines = 8)
            val used =
                (0 until 6)
                    .map {
                        fixture.nowMs += 400
                        fixture.granted(fixture.medium()).upstream
                    }.toSet()
            assertEquals(1, used.size)
        }
    }

    @Nested
    inner class PlacersWithPeers {
        /** Guards against several placers with different views of one engine, and against network partitions. */
        @Test
        fun `keep requests in their failure domain`() {
            val fixture = PlacingFixture(engines = 9)
            fixture.placer.hasPeerPlacers = true
            val granted = fixture.granted(fixture.long())
            val used = granted.helpers.map { it.upstream } + granted.upstream
            assertTrue(used.all { it.value in setOf("engine-0", "engine-3", "engine-6") }, "used $used")
        }
    }
}
