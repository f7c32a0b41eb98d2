package samphirechute.serving.cluster

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

class ReconnectDelaySpec {
    @Nested
    inner class AnInstanceThatStaysLost {
        /** Guards an instance that has just started against hundreds that each retry several times a second. */
        @Test
        fun `is called less than three times in two seconds by each instance`() {
            for (seed in 1..100) {
                val random = Random(seed)
                val pausesMs = List(3) { reconnectDelayMs(failures = 10 + it, random) }
                assertTrue(pausesMs.sum() > 1_700, "seed $seed: $pausesMs")
            }
        }

        @Test
        fun `gets calls that are spread over the whole delay`() {
            val random = Random(1)
            val pausesMs = List(400) { reconnectDelayMs(failures = 10, random) }
            for (fromMs in 600L until 1_200 step 100) {
                val count = pausesMs.count { it in fromMs until fromMs + 100 }
                assertTrue(count > 30, "$count of 400 from $fromMs ms")
            }
        }
    }

    @Nested
    inner class AnInstanceThatFailsOnce {
        @Test
        fun `is called again within 150 ms`() {
            assertTrue((1..100).all { reconnectDelayMs(failures = 1, Random(it)) in 1L..150 })
        }
    }
}
