package samphirechute.bench.limits

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

/** Each case guards the bench against passing a run that breaks the rule, or failing one that keeps it. */
class WindowCheckSpec {
    private val free = LimitStep(0, null, 0)
    private val oneASecond = LimitStep(10_000, 1.0, 10_000)
    private val told = listOf(Contact(10_000, "a"), Contact(10_000, "b"))

    private fun arrivals(
        count: Int,
        fromMs: Long,
        sender: String = "a",
    ) = List(count) { Contact(fromMs + it * 100, sender) }

    private fun broken(
        arrivals: List<Contact>,
        steps: List<LimitStep> = listOf(free, oneASecond),
        told: List<Contact> = this.told,
        excuses: List<Excuse> = emptyList(),
    ) = WindowCheck(steps, arrivals, told, excuses).broken()

    @Nested
    inner class Counting {
        @Test
        fun `a span with as many requests as allowed is kept, one more breaks it`() {
            assertEquals(emptyList(), broken(arrivals(11, 13_000)))
            val window = broken(arrivals(12, 13_000)).single()
            assertEquals(Window(13_000, 1.0, mapOf("a" to 12), 12), window)
            assertEquals(11.0, window.allowed)
        }

        @Test
        fun `requests of all instances are summed`() {
            val window = broken(arrivals(6, 13_000, "a") + arrivals(6, 16_000, "b")).single()
            assertEquals(mapOf("a" to 6, "b" to 6), window.senders)
        }

        @Test
        fun `requests that are 4 s apart are not in one span`() {
            assertEquals(emptyList(), broken(arrivals(10, 13_000) + arrivals(2, 17_000)))
        }

        @Test
        fun `one burst is reported once, a later one again`() {
            val found = broken(arrivals(30, 13_000) + arrivals(12, 30_000))
            assertEquals(listOf(13_000L, 30_000L), found.map { it.fromMs })
        }
    }

    @Nested
    inner class Times {
        @Test
        fun `spans that begin within 3 s after the limit was named are not checked`() {
            assertEquals(emptyList(), broken(arrivals(20, 10_600)))
            assertEquals(emptyList(), broken(arrivals(19, 12_200)))
            assertEquals(1, broken(arrivals(20, 12_200)).size)
        }

        @Test
        fun `the time at which the first answer names the limit counts`() {
            val late = LimitStep(10_000, 1.0, 12_000)
            assertEquals(emptyList(), broken(arrivals(20, 13_000), listOf(free, late)))
        }

        @Test
        fun `spans that reach beyond the end of the limit are not checked`() {
            val steps = listOf(free, oneASecond, LimitStep(20_000, null, 20_000))
            assertEquals(emptyList(), broken(arrivals(12, 19_000), steps))
            assertEquals(1, broken(arrivals(12, 18_800) + arrivals(12, 20_500), steps).size)
        }

        @Test
        fun `a lower limit is obeyed from 3 s on, a higher one at once`() {
            val steps = listOf(free, LimitStep(10_000, 5.0, 10_000), LimitStep(20_000, 1.0, 20_000))
            assertEquals(emptyList(), broken(arrivals(12, 21_500), steps))
            assertEquals(1, broken(arrivals(12, 23_000), steps).size)
            val raised = listOf(free, oneASecond, LimitStep(20_000, 5.0, 20_000))
            assertEquals(emptyList(), broken(arrivals(12, 20_000), raised))
            assertEquals(1, broken(arrivals(12, 18_800), raised).size)
        }
    }

    @Nested
    inner class Senders {
        @Test
        fun `an instance counts from half a second after it was told`() {
            val late = listOf(Contact(14_000, "a"))
            assertEquals(emptyList(), broken(arrivals(15, 13_000), told = late))
            assertEquals(1, broken(arrivals(12, 14_500), told = late).size)
        }

        @Test
        fun `what an instance was told of an earlier limit does not count`() {
            val steps = listOf(free, oneASecond, LimitStep(20_000, null, 20_000), LimitStep(30_000, 1.0, 30_000))
            assertEquals(emptyList(), broken(arrivals(20, 34_000), steps))
        }

        @Test
        fun `an excused instance is left out while it is excused`() {
            val excuses = listOf(Excuse("a", 13_000, 15_000))
            assertEquals(emptyList(), broken(arrivals(20, 13_000), excuses = excuses))
            val window = broken(arrivals(12, 15_000), excuses = excuses).single()
            assertEquals(12, window.countOfSteady)
        }

        @Test
        fun `an instance that was excused in a part of the span is not a steady one`() {
            val window = broken(arrivals(20, 13_000), excuses = listOf(Excuse("a", 13_900, 14_000))).single()
            assertEquals(19 to 0, window.count to window.countOfSteady)
        }
    }
}
