package samphirechute.serving.placement

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class CoordinatorBackoffSpec {
    private val backoff = CoordinatorBackoff()

    /** Asks the coordinator as often as allowed for [forMs] without an answer, and returns how often it asked. */
    private fun requests(forMs: Long) =
        (0 until forMs).count { nowMs ->
            val isAsked = !backoff.isActive(nowMs)
            if (isAsked) backoff.recordTimeout(nowMs)
            isAsked
        }

    @Nested
    inner class WhileNobodyAnswers {
        /** Guards a coordinator that has just started against more requests from all instances than it can answer. */
        @Test
        fun `requests to the coordinator become rarer`() {
            assertTrue(requests(forMs = 8_000) <= 8)
        }

        @Test
        fun `requests that were sent together count as one failure`() {
            repeat(50) { backoff.recordTimeout(nowMs = 1_000) }
            assertFalse(backoff.isActive(nowMs = 1_400))
        }
    }

    @Nested
    inner class OnceThereIsAnAnswer {
        @Test
        fun `the coordinator is asked at once, and the next backoff is short again`() {
            requests(forMs = 8_000)
            backoff.reset()
            assertEquals(1, requests(forMs = 400))
        }
    }
}
