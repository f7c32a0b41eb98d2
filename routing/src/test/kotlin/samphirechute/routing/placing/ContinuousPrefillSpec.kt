package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Tests many medium and long prompts at once, so that engines prefill without a break. */
class ContinuousPrefillSpec {
    @Nested
    inner class AnEngineWithDecodingRequests {
        private val fixture = PlacingFixture(engines = 6)
        private val prefillMs = PlacingFixture.PROFILE.prefillMs(45_000).toLong()

        /** Places two medium prompts, the second one [afterMs] after the predicted end of the first one's prefill. */
        private fun placeTwo(afterMs: Long): Pair<Placement.Granted, Placement.Granted> {
            fixture.granted(fixture.medium())
            fixture.nowMs += 2 * prefillMs
            val first = fixture.granted(fixture.medium())
            fixture.nowMs += prefillMs + afterMs
            return first to fixture.granted(fixture.medium())
        }

        /**
         * The prefill of a prompt ends with the pass; a part placed before that is prefilled first and delays all of
         * it.
         */
        @Test
        fun `gets no further prefill before its pass has ended`() {
            val (first, second) = placeTwo(afterMs = 5)
            assertNotEquals(first.upstream, second.upstream)
        }

        @Test
        fun `gets the next prompt after that`() {
            val (first, second) = placeTwo(afterMs = 120)
            assertEquals(first.upstream, second.upstream)
        }
    }

    @Nested
    inner class PromptsThatWait {
        /** Guards against a chain of prompts in which each one is delayed by the whole prefill of the next. */
        @Test
        fun `are placed a little after the predicted end of the prefill before them`() {
            val fixture = PlacingFixture(engines = 4)
            val first = fixture.granted(fixture.long())
            val waiting = fixture.long()
            fixture.place(waiting)
            val predictedMs = fixture.nowMs + first.firstByteMs
            var placedMs = 0L
            while (placedMs == 0L && fixture.nowMs < predictedMs + 1_000) {
                fixture.nowMs += 10
                if (fixture.placer.tick(fixture.nowMs).isNotEmpty()) placedMs = fixture.nowMs
            }
            assertTrue(placedMs >= predictedMs + LAG_MS, "placed ${placedMs - predictedMs} ms after")
        }
    }

    private companion object {
        /** Under light load, first events arrive up to this much later than predicted. */
        const val LAG_MS = 40
    }
}
