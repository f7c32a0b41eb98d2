package samphirechute.routing.flow

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class RetryBudgetSpec {
    @Nested
    inner class Limit {
        /** Guards against a retry storm, and against an idle instance that may not retry at all. */
        @Test
        fun `the budget is a tenth of the recent successes plus the floor`() {
            for ((successes, expected) in listOf(0 to 10, 100 to 20, 1_000 to 110)) {
                val budget = RetryBudget()
                repeat(successes) { budget.recordSuccess(nowMs = 500) }
                assertEquals(expected, (1..500).count { budget.tryAcquire(nowMs = 1_500) }, "$successes successes")
            }
        }

        /** Guards against a budget that still counts old successes, or that never recovers. */
        @Test
        fun `successes and retries leave the window after ten seconds`() {
            val budget = RetryBudget()
            repeat(1_000) { budget.recordSuccess(nowMs = 0) }
            assertEquals(110, (1..500).count { budget.tryAcquire(nowMs = 9_999) })
            assertEquals(0, (1..500).count { budget.tryAcquire(nowMs = 10_000) })
            assertEquals(0, (1..500).count { budget.tryAcquire(nowMs = 19_998) })
            assertEquals(10, (1..500).count { budget.tryAcquire(nowMs = 21_000) })
        }

        /** Guards against two bursts of retries within ten seconds, at the end of one slot and the start of another. */
        @Test
        fun `retries within any ten seconds stay within the floor`() {
            for (firstMs in listOf(0L, 1L, 500L, 999L)) {
                val budget = RetryBudget()
                assertEquals(10, (1..500).count { budget.tryAcquire(firstMs) })
                assertEquals(0, (1..500).count { budget.tryAcquire(firstMs + 9_999) }, "first at $firstMs ms")
            }
        }
    }
}
