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
    private fun failures(
        seed: Long,
        injections: List<Injection>,
        onStrike: (Step) -> Unit = {},
    ): String? {
        val scenario = FaultScenario(seed, injections)
        val faults = scenario.run()
        injections.take(scenario.struck).forEach { onStrike(it.step) }
        return if (faults.isEmpty()) null else "seed $seed, $injections: $faults"
    }

    @Nested
    inner class Alone {
        /** Guards against a fault at one step that loses a write, doubles a run, reverts a revision or stops the store. */
        @Test
        fun `every fault at every step is survived`() {
            val struck = mutableSetOf<Step>()
            val failed =
                Step.entries.flatMap { step ->
                    Fault.entries.flatMap { fault ->
                        (1L..4L).mapNotNull { seed ->
                            failures(seed, listOf(Injection(step, fault, seed % 2 == 0L)), struck::add)
                        }
                    }
                }
            assertEquals(emptyList(), failed.take(3), "${failed.size} runs failed")
            assertEquals(Step.entries.toSet(), struck, "a step was never reached")
        }
    }

    @Nested
    inner class InPairs {
        /** Guards against a second fault in the recovery from a first, such as another loss right after a repair. */
        @Test
        fun `every pair of faults is survived at every first step`() {
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
