package samphirechute.serving.relay

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RetryRulesSpec {
    private var remainingMs = 10_000L
    private val rules = RetryRules(maxAttempts = 2, isRepeatable = true, { remainingMs }) { true }

    /** Sends until no further attempt is allowed, and returns the number of attempts. */
    private fun sendWhileAllowed(isSent: Boolean): Int {
        while (rules.maySendAgain()) {
            rules.recordSend()
            if (!isSent) rules.recordUnsent()
        }
        return rules.sends
    }

    @Nested
    inner class Attempts {
        /** Guards against a prompt that is refused with its time left, since helpers lacked memory or did not connect. */
        @Test
        fun `that never reached an upstream leave the sends of the request as they were`() {
            repeat(4) {
                rules.recordSend()
                rules.recordUnsent()
            }
            assertTrue(rules.maySendAgain())
            assertFalse(rules.mayHaveRun)
            val unsent = rules.sends
            assertEquals(4, sendWhileAllowed(isSent = true) - unsent)
        }

        /** Guards against a request that goes round without an end when no upstream can be reached. */
        @Test
        fun `that never reached an upstream have a bound of their own`() {
            assertEquals(9, sendWhileAllowed(isSent = false))
        }

        /** Guards against a retry that cannot succeed, which delays the final answer. */
        @Test
        fun `end with the time of the request`() {
            remainingMs = 20
            assertEquals(0, sendWhileAllowed(isSent = false))
        }
    }
}
