package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** What callers get with the selection that follows what it observes, beside the fixed one in the same run. */
class EngineSelectionSpec {
    /** Requests per second of each kind, at a quarter of the size of the first customer. */
    private class Rates(
        val short: Double = 12.0,
        val medium: Double = 1.1,
        val long: Double = 0.25,
    )

    private fun arrivals(
        seed: Int,
        domain: (Random) -> Int = { it.nextInt(3) },
        rates: (Long) -> Rates,
    ): List<Arrival> {
        val random = Random(seed)
        return PromptKind.entries
            .flatMap { kind ->
                val found = ArrayList<Arrival>()
                var atMs = 0.0
                while (atMs < DAY_MS) {
                    atMs += -ln(1 - random.nextDouble()) * 1_000 / MOST_PER_S
                    val now = rates(atMs.toLong())
                    val perS = listOf(now.short, now.medium, now.long)[kind.ordinal]
                    if (random.nextDouble() < perS / MOST_PER_S) found += Arrival(atMs.toLong(), kind, domain(random))
                }
                found
            }.sortedBy { it.atMs }
    }

    private fun compare(
        name: String,
        load: (Int) -> List<Arrival>,
        newFleet: (EngineRules, Int) -> SimulatedFleet,
    ): Pair<Double, Double> {
        val runs =
            SEEDS.map { seed ->
                val arrivals = load(seed)
                val fixed = newFleet(EngineRules.FIXED, seed).serve(arrivals)
                val adaptive = newFleet(EngineRules.ADAPTIVE, seed).serve(arrivals)
                fixed.share to adaptive.share
            }
        val mean = runs.map { it.first }.average() to runs.map { it.second }.average()
        println("$name mean: fixed %.4f, adaptive %.4f".format(mean.first, mean.second))
        return mean
    }

    @Nested
    inner class ThirdOfTheEnginesHalfAsFast {
        private val load = { seed: Int -> arrivals(seed) { Rates(short = 18.0, medium = 1.6, long = 0.4) } }
        private val slowness = List(ENGINES) { if (it % 6 < 2) 2.0 else 1.0 }

        /**
         * Guards against prompts that wait for the slowest of their engines, and short ones on engines that miss
         * targets.
         */
        @Test
        fun `costs no more than their share of the capacity`() {
            val (_, healthy) = compare("healthy", load) { rules, _ -> SimulatedFleet(rules, List(ENGINES) { 1.0 }) }
            val (fixed, adaptive) = compare("slow third", load) { rules, _ -> SimulatedFleet(rules, slowness) }
            val lostCapacity = 1 - slowness.sumOf { 1 / it } / ENGINES
            assertTrue(adaptive >= healthy * (1 - lostCapacity), "$adaptive of $healthy")
            assertTrue(adaptive >= fixed, "$adaptive after $fixed")
        }
    }

    @Nested
    inner class FailureDomains {
        /** Guards against a choice that suits the peak of one domain and harms the callers of the others. */
        @Test
        fun `at the peak beside one at the trough serve no less than before`() {
            val load = { seed: Int ->
                arrivals(seed, { random -> if (random.nextInt(10) < 8) 0 else random.nextInt(1, 3) }) { Rates() }
            }
            val (fixed, adaptive) =
                compare(
                    "domain peak",
                    load,
                ) { rules, _ -> SimulatedFleet(rules, List(ENGINES) { 1.0 }) }
            assertTrue(adaptive >= fixed - NOISE, "$adaptive after $fixed")
        }
    }

    @Nested
    inner class Mixes {
        /** Guards against engines that are kept free of the prompts that come now, for those that came before. */
        @Test
        fun `that change from short to very long prompts within seconds are served no less than before`() {
            val load = { seed: Int ->
                arrivals(seed) { atMs ->
                    if (atMs / SWING_MS % 2 == 0L) Rates(30.0, 0.4, 0.05) else Rates(4.0, 1.1, 0.75)
                }
            }
            val (fixed, adaptive) = compare("mix", load) { rules, _ -> SimulatedFleet(rules, List(ENGINES) { 1.0 }) }
            assertTrue(adaptive >= fixed - NOISE, "$adaptive after $fixed")
        }
    }

    @Nested
    inner class Estimates {
        private fun assumed(factor: Double): EngineProfile {
            val real = PlacingFixture.PROFILE
            return real.copy(
                readTokensPerMs = real.readTokensPerMs / factor,
                readPerMillionPairsMs = real.readPerMillionPairsMs * factor,
            )
        }

        /** Guards against a correction that refuses everybody or sends all requests to one engine. */
        @Test
        fun `that are wrong by a factor of ten cost no more than before`() {
            for (factor in listOf(0.1, 10.0)) {
                val load = { seed: Int -> arrivals(seed) { Rates() } }
                val (fixed, adaptive) =
                    compare("estimate x$factor", load) { rules, _ ->
                        SimulatedFleet(rules, List(ENGINES) { 1.0 }, assumed(factor))
                    }
                assertTrue(adaptive >= fixed - NOISE, "$adaptive after $fixed with $factor")
            }
        }
    }

    @Nested
    inner class Failures {
        /** Guards against long prompts that are lost because one of their many engines crashes again and again. */
        @Test
        fun `of the same engines lose fewer long prompts than before`() {
            val load = { seed: Int -> arrivals(seed) { Rates(long = 0.5) } }
            val (fixed, adaptive) =
                compare("failures", load) { rules, seed ->
                    val random = Random(seed)
                    val failures = (0 until 3).associateWith { List(20) { random.nextLong(DAY_MS) } }
                    SimulatedFleet(rules, List(ENGINES) { 1.0 }, failuresMs = failures)
                }
            assertTrue(adaptive >= fixed, "$adaptive after $fixed")
        }
    }

    private companion object {
        const val ENGINES = 12
        const val DAY_MS = 60_000L
        const val SWING_MS = 10_000L
        const val MOST_PER_S = 40.0
        val SEEDS = 1..4

        /** One long prompt of a run, in time or not. */
        const val NOISE = 0.01
    }
}
