package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** The load is many medium and long prompts at once, so that engines read without a break. */
class SharedReadingSpec {
    @Nested
    inner class AnEngineWithWriters {
        private val fixture = PlacingFixture(engines = 6)
        private val prefillMs = PlacingFixture.PROFILE.prefillMs(45_000).toLong()

        /** Places two medium prompts, of which the second comes [afterMs] after the first should have been read. */
        private fun placeTwo(afterMs: Long): Pair<Placement.Granted, Placement.Granted> {
            fixture.granted(fixture.medium())
            fixture.nowMs += 2 * prefillMs
            val first = fixture.granted(fixture.medium())
            fixture.nowMs += prefillMs + afterMs
            return first to fixture.granted(fixture.medium())
        }

        /** Guards a prompt whose reading ends with the pass: a later part is read first, and delays it by its whole. */
        @Test
        fun `gets nothing more to read before its pass has ended`() {
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
        /** Guards against a chain in which each prompt is delayed by the whole of the next one. */
        @Test
        fun `are placed a little after the reading before them, not at the very time reckoned for its end`() {
            val fixture = PlacingFixture(engines = 4)
            val first = fixture.granted(fixture.long())
            val waiting = fixture.long()
            fixture.place(waiting)
            val reckonedMs = fixture.nowMs + first.firstByteMs
            var placedMs = 0L
            while (placedMs == 0L && fixture.nowMs < reckonedMs + 1_000) {
                fixture.nowMs += 10
                if (fixture.placer.tick(fixture.nowMs).isNotEmpty()) placedMs = fixture.nowMs
            }
            assertTrue(placedMs >= reckonedMs + LAG_MS, "placed ${placedMs - reckonedMs} ms after")
        }
    }

    private companion object {
        /** By so much first events came later than predicted on quiet days. */
        const val LAG_MS = 40
    }
}
