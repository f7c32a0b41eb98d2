package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import samphirechute.core.UpstreamId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EngineSpeedSpec {
    @Nested
    inner class Averages {
        private val speed = MeasuredSpeed()

        private fun record(
            factor: Double,
            times: Int,
        ) = repeat(times) { speed.recordFirstEvent((1_000 * factor).toLong(), 1_000.0, 1.0, 0) }

        /** Guards against an engine that is taken for slow because of one prediction that was far off. */
        @Test
        fun `one response that takes ten times as long moves by less than half`() {
            record(10.0, 1)
            assertTrue(speed.ratio(0) < 1.5, "${speed.ratio(0)}")
        }

        @Test
        fun `follow an engine of half the speed within eight responses`() {
            record(2.0, 8)
            assertTrue(speed.ratio(0) in 1.75..2.0, "${speed.ratio(0)}")
        }

        @Test
        fun `stay within bounds`() {
            record(100.0, 100)
            assertEquals(4.0, speed.ratio(0))
            record(0.01, 100)
            assertEquals(0.7, speed.ratio(0))
        }

        /** Guards against an engine that is avoided for ever, since it gets no requests that could show its speed. */
        @Test
        fun `return to 1 without evidence`() {
            record(2.0, 8)
            assertEquals(1.0, speed.ratio(60_000))
        }

        /** Guards against an order of engines by the noise of the network. */
        @Test
        fun `of responses that are late by the overhead of a network are exactly 1`() {
            repeat(20) { speed.recordFirstEvent(130, 90.0, 1.0, 0) }
            assertEquals(1.0, speed.ratio(0))
        }
    }

    @Nested
    inner class Responses {
        private val fixture = PlacingFixture(engines = 1, policy = PlacingPolicy(isSelectionAdaptive = true))
        private val engine = UpstreamId("engine-0")

        /**
         * Ends ten medium prompts one after the other and returns the predictions for the first and the one after them.
         */
        private fun predictions(
            outcome: PlacementOutcome,
            firstByteMs: Long?,
        ): Pair<Long, Long> {
            val all =
                List(11) {
                    val request = fixture.medium()
                    val granted = fixture.granted(request)
                    fixture.nowMs += 2_000
                    fixture.placer.reportEnd(
                        PlacementResult(request.request, engine, outcome, firstByteMs),
                        fixture.nowMs,
                    )
                    fixture.nowMs += 6_000
                    granted.firstByteMs
                }
            return all.first() to all.last()
        }

        @Test
        fun `that are late make predictions longer`() {
            val (first, last) = predictions(PlacementOutcome.DONE, 700)
            assertTrue(last > 1.8 * first, "$first, then $last")
        }

        /** Guards against an engine that is taken for slow because its callers leave. */
        @Test
        fun `that callers do not wait for change nothing`() {
            val (first, last) = predictions(PlacementOutcome.CANCELLED, null)
            assertEquals(first, last)
        }

        /** Guards against an engine that is never known to be slow, since it is always given up as silent. */
        @Test
        fun `that never come make predictions longer`() {
            val (first, last) = predictions(PlacementOutcome.STALLED, null)
            assertTrue(last > 1.8 * first, "$first, then $last")
        }
    }
}
