package samphirechute.serving.placement

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class CoordinatorBackoffSpec {
    private val backoff = CoordinatorBackoff()

    /** Asks as soon as it may, for [forMs], and gets no answer; gives how often it asked. */
    private fun questions(forMs: Long) =
        (0 until forMs).count { nowMs ->
            val isAsked = !backoff.isActive(nowMs)
            if (isAsked) backoff.recordTimeout(nowMs)
            isAsked
        }

    @Nested
    inner class WhileNobodyAnswers {
        /** Guards a coordinator that has just started against a fleet that asks faster than it can answer. */
        @Test
        fun `questions become rarer`() {
            assertTrue(questions(forMs = 8_000) <= 8)
        }

        @Test
        fun `questions that were asked together count as one`() {
            repeat(50) { backoff.recordTimeout(nowMs = 1_000) }
            assertFalse(backoff.isActive(nowMs = 1_400))
        }
    }

    @Nested
    inner class OnceThereIsAnAnswer {
        @Test
        fun `the next question is asked at once, and the next silence is short again`() {
            questions(forMs = 8_000)
            backoff.reset()
            assertEquals(1, questions(forMs = 400))
        }
    }
}
