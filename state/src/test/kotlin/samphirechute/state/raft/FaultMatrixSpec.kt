package samphirechute.state.raft

import org.junit.jupiter.api.Nested
import samphirechute.state.sim.Fault
import samphirechute.state.sim.FaultScenario
import samphirechute.state.sim.Injection
import samphirechute.state.sim.Step
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class FaultMatrixSpec {
    /** Runs a scenario and returns a description of its violations, or null if there are none. */
    private fun failures(
        seed: Long,
        injections: List<Injection>,
        onInjected: (Step) -> Unit = {},
    ): String? {
        val scenario = FaultScenario(seed, injections)
        val violations = scenario.run()
        injections.take(scenario.injectedCount).forEach { onInjected(it.step) }
        return if (violations.isEmpty()) null else "seed $seed, $injections: $violations"
    }

    @Nested
    inner class Alone {
        /**
         * Guards against a fault at one step that loses a write, runs a request twice, reverts a revision or stops the
         * store.
         */
        @Test
        fun `the store survives every fault at every step`() {
            val reached = mutableSetOf<Step>()
            val failed =
                Step.entries.flatMap { step ->
                    Fault.entries.flatMap { fault ->
                        (1L..4L).mapNotNull { seed ->
                            failures(seed, listOf(Injection(step, fault, seed % 2 == 0L)), reached::add)
                        }
                    }
                }
            assertEquals(emptyList(), failed.take(3), "${failed.size} runs failed")
            assertEquals(Step.entries.toSet(), reached, "some steps were never reached")
        }
    }

    @Nested
    inner class InPairs {
        /**
         * Guards against a second fault during the recovery from the first, such as another loss right after a repair.
         */
        @Test
        fun `the store survives every pair of faults, the first at every step`() {
            val failed =
                Step.entries.flatMap { step ->
                    Fault.entries.flatMap { first ->
                        Fault.entries.mapNotNull { second ->
                            val seed =
                                1L + second.ordinal +
                                    Fault.entries.size * (first.ordinal + Fault.entries.size * step.ordinal)
                            val random = Random(seed)
                            val one = Injection(step, first, random.nextBoolean())
                            failures(
                                seed,
                                listOf(one, Injection(Step.entries.random(random), second, random.nextBoolean())),
                            )
                        }
                    }
                }
            assertEquals(emptyList(), failed.take(3), "${failed.size} runs failed")
        }
    }
}
