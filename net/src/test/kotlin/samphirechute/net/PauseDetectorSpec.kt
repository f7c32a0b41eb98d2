package samphirechute.net

import org.junit.jupiter.api.Nested
import samphirechute.core.time.VirtualTimer
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class PauseDetectorSpec {
    private val timer = VirtualTimer()
    private var wallAheadMs = 0L
    private val pauses = PauseDetector(timer) { timer.nowMs() + wallAheadMs }

    @Nested
    inner class Pauses {
        /** Guards against an order that is carried out as new although it waited while the process was frozen. */
        @Test
        fun `are noticed at the first read, and no longer after the reads that waited`() {
            timer.advanceBy(5_000)
            assertTrue(pauses.mayReadLate())
            pauses.start()
            timer.advanceBy(1_000)
            assertFalse(pauses.mayReadLate())
        }

        @Test
        fun `of the whole machine are noticed by the time of day`() {
            pauses.start()
            timer.advanceBy(1_000)
            assertFalse(pauses.mayReadLate())
            wallAheadMs = 5_000
            assertTrue(pauses.mayReadLate())
        }
    }
}
