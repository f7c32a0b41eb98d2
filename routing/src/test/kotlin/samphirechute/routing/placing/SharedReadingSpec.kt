package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

/** The load is many medium and long prompts at once, so that engines read without a break. */
class SharedReadingSpec {
    @Nested
    inner class AnEngineWithWriters {
        private val fixture = PlacingFixture(engines = 6)
        private val readMs = PlacingFixture.PROFILE.readMs(45_000).toLong()

        /** Places two medium prompts, of which the second comes [afterMs] after the first should have been read. */
        private fun placeTwo(afterMs: Long): Pair<Placement.Granted, Placement.Granted> {
            fixture.granted(fixture.medium())
            fixture.nowMs += 2 * readMs
            val first = fixture.granted(fixture.medium())
            fixture.nowMs += readMs + afterMs
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
}
