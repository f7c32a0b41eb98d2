package samphirechute.core.time

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class VirtualTimerSpec {
    private val timer = VirtualTimer()
    private val runs = mutableListOf<Pair<Long, String>>()

    private fun recordRun(name: String): () -> Unit = { runs += timer.nowMs() to name }

    @Nested
    inner class Order {
        /** Guards against simulations whose result depends on the internal order of the queue. */
        @Test
        fun `due actions run in order of time, then of subscription`() {
            timer.after(20, recordRun("late"))
            timer.after(10, recordRun("first"))
            timer.after(10, recordRun("second"))
            timer.advanceTo(30)
            assertEquals(listOf(10L to "first", 10L to "second", 20L to "late"), runs)
            assertEquals(30, timer.nowMs())
        }
    }

    @Nested
    inner class Cancel {
        /** Guards against an action that runs after its owner was closed. */
        @Test
        fun `a cancelled subscription does not run again`() {
            val repeat = timer.every(10, recordRun("tick"))
            timer.advanceTo(25)
            repeat.cancel()
            timer.advanceTo(100)
            assertEquals(listOf(10L to "tick", 20L to "tick"), runs)
        }
    }
}
