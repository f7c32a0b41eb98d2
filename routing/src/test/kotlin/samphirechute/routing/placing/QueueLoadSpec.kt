package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import samphirechute.routing.placing.QueueLoad.Companion.LONG
import samphirechute.routing.placing.QueueLoad.Companion.MEDIUM
import samphirechute.routing.placing.QueueLoad.Companion.SHORT
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Plays loads that exceed the capacity for a while, with [WorkQueue] and with the order before it. */
class QueueLoadSpec {
    private val values = ArrayList<String>()

    /** Plays the same load with both orders and returns what the callers got. */
    private fun <T> both(
        slowness: Double = 1.0,
        coldPerS: Double = 0.0,
        replacedMs: Long = Long.MAX_VALUE,
        load: QueueLoad.() -> T,
    ): Pair<T, T> {
        fun play(createQueue: (PoolProfile) -> PoolQueue): T {
            val played = QueueLoad(createQueue, slowness = slowness, coldPerS = coldPerS)
            val asked = played.load()
            played.play(PLAY_MS, replacedMs)
            values += "%.1f".format(played.value)
            return asked
        }
        values.clear()
        return play(::WorkQueue) to play(::CountedQueue)
    }

    private fun report(
        name: String,
        asked: Pair<List<Asked>, List<Asked>>,
    ) {
        val (now, before) = asked

        fun of(list: List<Asked>) =
            "${list.count { it.isInTime }} in time, ${list.count { it.firstEventMs != null }} served, " +
                "${list.count { it.refused != null }} refused of ${list.size}"
        println("$name: ${of(now)}; before: ${of(before)}; value of all responses now and before: $values")
    }

    private fun List<Asked>.inTime() = count { it.isInTime }

    @Nested
    inner class UrgentCallersInABurstOfLongPrompts {
        private val both =
            both {
                val long = List(20) { ask(1_000L + it * 25, LONG, priority = 7) }
                val urgent = List(20) { ask(1_200L + it * 150, MEDIUM, priority = 1) }
                urgent to long
            }

        /** Guards against urgent callers that wait for the long prompts of others. */
        @Test
        fun `are served in time, and no fewer than before`() {
            report("urgent", both.first.first to both.second.first)
            report("long beside urgent", both.first.second to both.second.second)
            assertTrue(both.first.first.inTime() >= both.second.first.inTime())
            assertTrue(both.first.first.inTime() >= URGENT_IN_TIME)
        }

        /** Guards against prompts that wait until their callers give up and are served to nobody. */
        @Test
        fun `let those that cannot be served be refused before their wait is over`() {
            val refused = both.first.second.filter { it.refused != null }
            val early = refused.count { it.decidedMs!! - it.atMs < EARLY_MS }
            println("long refused: $early of ${refused.size} within $EARLY_MS ms")
            assertTrue(refused.isNotEmpty(), "the load shows nothing: all are served")
            assertTrue(early * 2 >= refused.size, "$early of ${refused.size}")
        }

        /** Guards against long prompts that never start while shorter ones go on to come. */
        @Test
        fun `do not keep all long prompts from being served`() {
            assertTrue(both.first.second.count { it.firstEventMs != null } >= 2)
        }
    }

    @Nested
    inner class ALargeTeamBesideSmallOnes {
        /** Guards against a team with one request that waits behind hundreds of a large team. */
        @Test
        fun `leaves the small ones in time`() {
            val both =
                both {
                    repeat(300) { ask(500L + it * 12, MEDIUM, "large") }
                    List(10) { ask(1_000L + it * 250, MEDIUM, "small-${it % 5}") }
                }
            report("small teams", both)
            assertTrue(both.first.inTime() > both.second.inTime())
            assertTrue(both.first.inTime() >= 9)
        }

        /** The same for short prompts, which wait for slots. */
        @Test
        fun `leaves the small ones in time when slots are short`() {
            val both =
                both {
                    repeat(600) { ask(500L + it * 5, SHORT, "large") }
                    List(10) { ask(1_000L + it * 200, SHORT, "small-${it % 5}") }
                }
            report("small teams, short", both)
            assertTrue(both.first.inTime() >= both.second.inTime())
            assertTrue(both.first.inTime() >= 9)
        }
    }

    @Nested
    inner class OneTeam {
        /** Guards against a long prompt that gets no engines while shorter ones take each that becomes free. */
        @Test
        fun `has its long prompts served beside many medium ones`() {
            val both =
                both {
                    repeat(200) { ask(500L + it * 50, MEDIUM) }
                    List(5) { ask(1_500L + it * 1_500, LONG) }
                }
            report("long beside medium", both)
            assertTrue(both.first.inTime() >= both.second.inTime())
            assertTrue(both.first.count { it.firstEventMs != null } >= 3)
        }

        /** Guards against a queue in which everybody waits until all responses are late. */
        @Test
        fun `that sends slightly too much is served in time more often`() {
            val both = both { List(900) { ask(500L + it * 15, SHORT) } }
            report("slightly too many", both)
            assertTrue(both.first.inTime() > both.second.inTime())
        }

        /** Guards against changes for deployments that have enough capacity. */
        @Test
        fun `gets the same as before under calm load`() {
            val both =
                both {
                    List(100) { ask(500L + it * 100, if (it % 10 == 0) MEDIUM else SHORT) } + ask(4_000, LONG)
                }
            report("calm", both)
            assertEquals(both.second.map { it.placedMs }, both.first.map { it.placedMs })
            assertEquals(both.second.map { it.firstEventMs }, both.first.map { it.firstEventMs })
        }
    }

    @Nested
    inner class AnEstimate {
        private fun QueueLoad.busy() = List(200) { ask(500L + it * 40, MEDIUM) }

        /** Guards against an estimate that is too long and refuses everybody, or too short and holds everybody. */
        @Test
        fun `that is wrong by ten times neither refuses nor holds everybody`() {
            for (slowness in listOf(0.1, 10.0)) {
                val both = both(slowness) { busy() }
                report("slowness $slowness", both)
                val served = both.first.count { it.firstEventMs != null }
                assertTrue(
                    served >= both.second.count { it.firstEventMs != null } * SERVED_SHARE,
                    "$served at $slowness",
                )
                assertTrue(both.first.none { it.decidedMs == null }, "held at $slowness")
                assertTrue(both.first.all { it.refused == null || it.refused!!.retryAfterMs in 300..3_000 })
            }
        }
    }

    @Nested
    inner class Failures {
        /** Guards against work ahead that counts requests whose callers have left. */
        @Test
        fun `a caller that leaves while it waits makes room for the others`() {
            val both =
                both {
                    repeat(20) { ask(500, LONG, leavesAfterMs = 700) }
                    List(5) { ask(1_500L + it * 100, MEDIUM) }
                }
            report("after leaving", both)
            assertTrue(both.first.all { it.refused == null }, "${both.first.map { it.refused }}")
            assertTrue(both.first.inTime() >= both.second.inTime())
        }

        /** Guards against a new coordinator that refuses or holds everybody because it knows no rates and no shares. */
        @Test
        fun `a successor that knows nothing serves the small teams as well as before`() {
            val both =
                both(replacedMs = 2_000) {
                    repeat(300) { ask(500L + it * 12, MEDIUM, "large") }
                    List(10) { ask(2_100L + it * 150, MEDIUM, "small-${it % 5}") }
                }
            report("successor", both)
            assertTrue(both.first.inTime() >= both.second.inTime())
            assertTrue(both.first.inTime() >= 8)
        }

        /** Guards against a decision on the wrong reason: what is refused for its wait names a time to come back. */
        @Test
        fun `what is refused for its wait names the load as the reason`() {
            val (now, _) = both { List(400) { ask(500L + it * 4, MEDIUM) } }
            val refused = now.mapNotNull { it.refused }
            assertTrue(refused.isNotEmpty())
            assertTrue(refused.all { it.reason == RefusedReason.OVERLOADED || it.reason == RefusedReason.EXPIRED })
        }
    }

    private companion object {
        const val PLAY_MS = 25_000L

        /** Nine in ten of twenty. */
        const val URGENT_IN_TIME = 18

        /** Half of the time until callers of long prompts give up. */
        const val EARLY_MS = 5_600L

        /** Overload control may refuse some requests that would be served late. */
        const val SERVED_SHARE = 0.5
    }
}
