package samphirechute.serving.control

import org.junit.jupiter.api.Nested
import samphirechute.core.InstanceId
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class InFlightLimiterSpec {
    private val limiter = InFlightLimiter(maxPerInstance = 3)
    private val slow = InstanceId("slow")

    private fun fill() = repeat(3) { assertTrue(limiter.tryAcquire(slow)) }

    @Nested
    inner class AnInstanceThatConfirmsNothing {
        /** Guards a slow member against a connection for each message that it has no time to read. */
        @Test
        fun `gets no more messages than the limit`() {
            fill()
            assertFalse(limiter.tryAcquire(slow))
        }

        @Test
        fun `does not use up the limit of others`() {
            fill()
            assertTrue(limiter.tryAcquire(InstanceId("other")))
        }
    }

    @Nested
    inner class AnInstanceThatConfirmsAgain {
        @Test
        fun `gets as many new messages as it has confirmed`() {
            fill()
            limiter.release(slow)
            assertTrue(limiter.tryAcquire(slow))
            assertFalse(limiter.tryAcquire(slow))
        }
    }
}
