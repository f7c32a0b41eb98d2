package samphirechute.core.time

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFails

class OnDemandTimerSpec {
    private val timer = VirtualTimer()
    private var work = 0
    private var runs = 0
    private val onDemand =
        OnDemandTimer(timer, PERIOD_MS, { work > 0 }) {
            runs++
            work--
        }

    @Nested
    inner class Idle {
        /** Guards against a process that wakes up while it has nothing to do. */
        @Test
        fun `the action does not run while it is not needed`() {
            onDemand.arm()
            timer.advanceBy(100 * PERIOD_MS)
            assertEquals(0, runs)
        }
    }

    @Nested
    inner class Needed {
        @Test
        fun `the action runs each period until it is no longer needed`() {
            work = 3
            onDemand.arm()
            timer.advanceBy(2 * PERIOD_MS)
            assertEquals(2, runs)
            timer.advanceBy(100 * PERIOD_MS)
            assertEquals(3, runs)
        }

        @Test
        fun `arming twice runs the action once each period`() {
            work = 10
            repeat(2) { onDemand.arm() }
            timer.advanceBy(PERIOD_MS)
            assertEquals(1, runs)
        }

        /** Guards against waiting requests that are never processed again after one failure. */
        @Test
        fun `an action that throws runs again`() {
            var throws = 0
            val failing = OnDemandTimer(timer, PERIOD_MS, { throws < 2 }) { error("failure ${++throws}") }
            failing.arm()
            repeat(2) { assertFails { timer.advanceBy(PERIOD_MS) } }
            assertEquals(2, throws)
        }
    }

    private companion object {
        const val PERIOD_MS = 20L
    }
}
