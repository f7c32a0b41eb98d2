package samphirechute.core.time

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class VirtualTimerSpec {
    private val timer = VirtualTimer()
    private val seen = mutableListOf<Pair<Long, String>>()

    private fun note(name: String): () -> Unit = { seen += timer.nowMs() to name }

    @Nested
    inner class Order {
        /** Guards against simulations whose result depends on the order of the queue. */
        @Test
        fun `runs what falls due by time, then by subscription`() {
            timer.after(20, note("late"))
            timer.after(10, note("first"))
            timer.after(10, note("second"))
            timer.advanceTo(30)
            assertEquals(listOf(10L to "first", 10L to "second", 20L to "late"), seen)
            assertEquals(30, timer.nowMs())
        }
    }

    @Nested
    inner class Cancel {
        /** Guards against an action that runs after its owner has gone. */
        @Test
        fun `a cancelled subscription does not run again`() {
            val repeat = timer.every(10, note("tick"))
            timer.advanceTo(25)
            repeat.cancel()
            timer.advanceTo(100)
            assertEquals(listOf(10L to "tick", 20L to "tick"), seen)
        }
    }
}
