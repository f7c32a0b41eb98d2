package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class EngineProfileSpec {
    private val engine = PlacingFixture.PROFILE

    @Nested
    inner class Prefill {
        /** Guards the unit of token pairs: n tokens have n * n / 2 pairs. The expected times are calculated by hand. */
        @Test
        fun `the prefill time grows with the number of token pairs`() {
            val rows = mapOf(5_000L to 20.7, 45_000L to 268.6, 210_000L to 2_842.3, 450_000L to 11_042.5)
            for ((tokens, expectedMs) in rows) assertEquals(expectedMs, engine.prefillMs(tokens), 1.0, "$tokens tokens")
        }
    }

    @Nested
    inner class Passes {
        @Test
        fun `a pass without decoding requests takes no time`() = assertEquals(0.0, engine.passMs(0, 0))

        @Test
        fun `a pass runs all its steps for each decoding request`() {
            assertEquals(46 * (0.925 + 0.014 + 0.0254), engine.passMs(2, 10_000), 0.01)
        }
    }
}
