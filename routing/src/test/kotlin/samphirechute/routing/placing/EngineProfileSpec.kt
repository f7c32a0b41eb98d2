package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class EngineProfileSpec {
    private val profile = PlacingFixture.PROFILE

    @Nested
    inner class Reading {
        /** Guards the unit of the pairs, of which half a square counts. The expected times are worked out by hand. */
        @Test
        fun `the time to read grows with the pairs of tokens`() {
            val rows = mapOf(5_000L to 20.7, 45_000L to 268.6, 210_000L to 2_842.3, 450_000L to 11_042.5)
            for ((tokens, expectedMs) in rows) assertEquals(expectedMs, profile.prefillMs(tokens), 1.0, "$tokens tokens")
        }
    }

    @Nested
    inner class Passes {
        @Test
        fun `a pass without writers takes no time`() = assertEquals(0.0, profile.passMs(0, 0))

        @Test
        fun `a pass runs all its steps for each request that writes`() {
            assertEquals(46 * (0.925 + 0.014 + 0.0254), profile.passMs(2, 10_000), 0.01)
        }
    }
}
