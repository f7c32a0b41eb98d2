package samphirechute.routing.pace

import org.junit.jupiter.api.Nested
import samphirechute.core.UpstreamId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Placers that grant one upstream whatever they may. Guards against more requests within a second than an upstream that
 * has become cold accepts; requests count when they arrive.
 */
class ColdBoundSpec {
    private val arrivalsMs = ArrayList<Long>()

    private fun placer(
        seed: Int,
        placers: () -> Int,
    ) = PaceTable(Random(seed), placers = placers).also { it.retain(setOf(UPSTREAM)) }

    /** Lets the placers grant at each of [timesMs]; the grants arrive after [delayMs]. */
    private fun grant(
        tables: List<PaceTable>,
        timesMs: IntProgression,
        delayMs: (Long) -> Long = { 0 },
    ): Int {
        var granted = 0
        for (nowMs in timesMs.map { it.toLong() }) {
            for (table in tables) {
                while (table.isUnderColdRate(UPSTREAM, RATE_PER_S, nowMs)) {
                    table.recordGrant(UPSTREAM, RATE_PER_S, 0, isOwn = true, nowMs)
                    arrivalsMs += nowMs + delayMs(nowMs)
                    granted++
                }
            }
        }
        return granted
    }

    private fun most() = arrivalsMs.maxOf { from -> arrivalsMs.count { it in from until from + 1_000 } }

    private fun assertBound() = assertTrue(most() <= RATE_PER_S * 1.5 + 5, "${most()} arrive within a second")

    @Nested
    inner class Coordinators {
        @Test
        fun `serve an undisturbed upstream as before, with nine tenths of the rate in each second`() {
            assertEquals(35, grant(listOf(placer(1) { 1 }), 10_000..10_999 step 1))
        }

        @Test
        fun `stay below the bound if grants of different moments arrive together`() {
            grant(listOf(placer(1) { 1 }), 10_000..16_000 step 1) {
                if (it <
                    13_000
                ) {
                    13_000 - it.coerceAtLeast(12_500)
                } else {
                    0
                }
            }
            assertBound()
        }

        @Test
        fun `that succeed one that died after a burst stay below the bound with the instances in between`() {
            for (gapMs in listOf(0, 100, 400, 900)) {
                for (seed in 1..20) {
                    arrivalsMs.clear()
                    var isLeader = false
                    val successor = placer(seed) { if (isLeader) 1 else 3 }
                    grant(listOf(placer(seed) { 1 }), 10_000..10_000 step 1)
                    grant(List(INSTANCES) { placer(100 * seed + it) { INSTANCES } }, 10_001..10_000 + gapMs step 10)
                    isLeader = true
                    grant(listOf(successor), 10_001 + gapMs..13_000 step 1)
                    assertBound()
                }
            }
        }
    }

    @Nested
    inner class InstancesWithoutCoordinator {
        @Test
        fun `use most of their part and stay below the rate, also after an idle time and if they are many`() {
            for (instances in listOf(6, 15, 24, 119)) {
                for (seed in 1..20) {
                    arrivalsMs.clear()
                    val tables = List(instances) { placer(1_000 * seed + it) { instances } }
                    grant(tables, 10_000..10_000 step 1)
                    val granted = grant(tables, 60_000..69_999 step 10)
                    assertTrue(most() <= RATE_PER_S, "${most()} of $instances instances within a second")
                    assertTrue(granted >= RATE_PER_S * 10 * ColdBudget.SHARED_PART * 0.8, "granted $granted")
                }
            }
        }

        @Test
        fun `stay below the bound together with a coordinator that a third of them cannot reach`() {
            for (seed in 1..20) {
                arrivalsMs.clear()
                val lonely = List(INSTANCES / 3) { placer(100 * seed + it) { INSTANCES } }
                grant(lonely, 10_000..16_000 step 10)
                grant(listOf(placer(seed) { 1 }), 10_000..16_000 step 1)
                assertBound()
            }
        }

        @Test
        fun `do not grant beside what a coordinator has granted them within the last second`() {
            val table = placer(1) { INSTANCES }
            table.recordGrant(UPSTREAM, RATE_PER_S, 0, isOwn = false, 10_000)
            assertEquals(0, grant(listOf(table), 10_000..10_999 step 10))
        }
    }

    private companion object {
        val UPSTREAM = UpstreamId("engine-0")
        const val RATE_PER_S = 38.0
        const val INSTANCES = 15
    }
}
