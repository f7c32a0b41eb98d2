package samphirechute.serving.control

import org.junit.jupiter.api.Nested
import samphirechute.core.InstanceId
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class InFlightLimiterSpec {
    private val messages = InFlightLimiter(maxPerInstance = 3)
    private val slow = InstanceId("slow")

    private fun fill() = repeat(3) { assertTrue(messages.tryAcquire(slow)) }

    @Nested
    inner class AnInstanceThatConfirmsNothing {
        /** Guards a slow member against a connection for each message that it has no time to read. */
        @Test
        fun `gets no more messages than may be unanswered`() {
            fill()
            assertFalse(messages.tryAcquire(slow))
        }

        @Test
        fun `does not keep others from theirs`() {
            fill()
            assertTrue(messages.tryAcquire(InstanceId("other")))
        }
    }

    @Nested
    inner class AnInstanceThatConfirmsAgain {
        @Test
        fun `gets as many messages as it has confirmed`() {
            fill()
            messages.release(slow)
            assertTrue(messages.tryAcquire(slow))
            assertFalse(messages.tryAcquire(slow))
        }
    }
}
