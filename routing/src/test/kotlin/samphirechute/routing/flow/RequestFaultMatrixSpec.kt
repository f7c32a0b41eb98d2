package samphirechute.routing.flow

import org.junit.jupiter.api.Nested
import samphirechute.core.RunState
import samphirechute.routing.flow.matrix.Cell
import samphirechute.routing.flow.matrix.Fault
import samphirechute.routing.flow.matrix.Guarantee
import samphirechute.routing.flow.matrix.Guarantees
import samphirechute.routing.flow.matrix.InjectedFault
import samphirechute.routing.flow.matrix.OutputMutator
import samphirechute.routing.flow.matrix.Profile
import samphirechute.routing.flow.matrix.Simulation
import samphirechute.routing.flow.matrix.Step
import samphirechute.routing.flow.matrix.Violation
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Injects every fault at every step of a request, alone and in pairs, into a simulation with [RequestFlow], and checks
 * what is guaranteed to callers and operators. `docs/request-flow.md` explains the faults and steps.
 */
class RequestFaultMatrixSpec {
    private val faults = Fault.entries.flatMap { fault -> Step.entries.map { InjectedFault(fault, it) } }

    private fun cells(faultLists: List<List<InjectedFault>>) =
        Profile.entries.flatMap { profile ->
            listOf(false, true).flatMap { isNonRepeatable -> faultLists.map { Cell(profile, isNonRepeatable, it) } }
        }

    private fun violationsOf(cells: List<Cell>): List<Pair<Cell, List<Violation>>> =
        cells.map { it to Guarantees.check(Simulation(it, SEED).run()) }.filter { it.second.isNotEmpty() }

    private fun assertGuaranteesHold(cells: List<Cell>) {
        val violations = violationsOf(cells)
        val byGuarantee = violations.flatMap { (_, found) -> found.map { it.guarantee } }.groupingBy { it }.eachCount()
        val first = violations.take(MAX_SHOWN).joinToString("\n") { (cell, found) -> "$cell: $found" }
        assertEquals(0, violations.size, "of ${cells.size} cells, seed $SEED, $byGuarantee:\n$first")
    }

    @Nested
    inner class Guaranteed {
        /** Guards against a simulation in which requests fail even without faults, so that nothing would be tested. */
        @Test
        fun `without faults each request is answered`() {
            for (cell in cells(listOf(emptyList()))) {
                val trace = Simulation(cell, SEED).run()
                assertEquals(emptyList(), Guarantees.check(trace))
                assertEquals(
                    null,
                    trace.submissions
                        .first()
                        .outcomes
                        .single()
                        .second.code,
                    "$cell",
                )
            }
        }

        /** Guards against cells that test nothing because their fault was never injected. */
        @Test
        fun `each fault is injected at each step`() {
            val missed = cells(faults.map { listOf(it) }).filter { Simulation(it, SEED).run().injected != it.faults }
            assertEquals(emptyList(), missed)
        }

        /** Guards against requests that fail although another upstream could have answered them in time. */
        @Test
        fun `a repeatable request with time left is answered in spite of any single fault`() {
            val singles =
                faults.filter { it.fault != Fault.CALLER_GONE }.map {
                    Cell(
                        Profile.STREAM,
                        false,
                        listOf(it),
                    )
                }
            val failed =
                singles.mapNotNull { cell ->
                    val outcome =
                        Simulation(cell, SEED)
                            .run()
                            .submissions
                            .last()
                            .outcomes
                            .single()
                            .second
                    if (outcome.code == null) null else cell.faults to outcome
                }
            assertEquals(0, failed.size, failed.joinToString("\n"))
        }

        /** Guards against a single fault that breaks a guarantee. */
        @Test
        fun `the guarantees hold for each fault at each step`() = assertGuaranteesHold(cells(faults.map { listOf(it) }))

        /** Guards against faults that break a guarantee only in combination. */
        @Test
        fun `the guarantees hold for each pair of faults`() =
            assertGuaranteesHold(cells(faults.flatMap { a -> faults.map { listOf(a, it) } }))
    }

    @Nested
    inner class Checker {
        private val singles = cells(faults.map { listOf(it) })

        private fun found(mutator: OutputMutator) =
            singles.flatMap { Guarantees.check(Simulation(it, SEED, mutator).run()) }

        private fun changed(change: (FlowOutput) -> List<FlowOutput>): OutputMutator =
            { _, outputs -> outputs.flatMap(change) }

        private fun without(isDropped: (FlowOutput) -> Boolean) =
            changed { if (isDropped(it)) emptyList() else listOf(it) }

        private fun twice(isRepeated: (FlowOutput) -> Boolean) =
            changed { if (isRepeated(it)) listOf(it, it) else listOf(it) }

        private fun outcome(change: (FlowOutcome) -> FlowOutcome) =
            changed { listOf(if (it is FlowOutput.Finish) FlowOutput.Finish(change(it.outcome)) else it) }

        /** Guards against a checker that misses one of these violations. */
        @Test
        fun `the checker finds each planted violation`() {
            val planted =
                listOf(
                    Guarantee.FINISHED_IN_TIME to without { it is FlowOutput.Finish },
                    Guarantee.FINISHED_IN_TIME to twice { it is FlowOutput.Finish },
                    Guarantee.GIVEN_UP_AT_ONCE to without { it is FlowOutput.AskGrant },
                    Guarantee.GIVEN_UP_AT_ONCE to without { it is FlowOutput.AskClaim },
                    Guarantee.GIVEN_UP_AT_ONCE to outcome { it.copy(retryAfterMs = null) },
                    Guarantee.WHOLE_ANSWER to without { it is FlowOutput.Deliver && it.offset == 7L },
                    Guarantee.WHOLE_ANSWER to twice { it is FlowOutput.Deliver },
                    Guarantee.WHOLE_ANSWER to outcome { it.copy(runState = RunState.RAN) },
                    Guarantee.NOTHING_LEAKED to without { it is FlowOutput.ReleaseGrant },
                    Guarantee.NOTHING_LEAKED to twice { it is FlowOutput.ReleaseGrant },
                    Guarantee.NOTHING_LEAKED to without { it is FlowOutput.CancelAttempt },
                    Guarantee.NOT_RUN_IS_TRUE to outcome { it.copy(runState = RunState.NOT_RUN) },
                    Guarantee.AT_MOST_ONCE to twice { it is FlowOutput.Dispatch },
                    Guarantee.AT_MOST_ONCE to changed { listOf(it, FlowOutput.ReleaseClaim) },
                    Guarantee.CLAIM_SETTLED to without { it is FlowOutput.ReleaseClaim },
                    Guarantee.CLAIM_SETTLED to without { it is FlowOutput.RecordOutcome },
                )
            val missed =
                planted.mapIndexedNotNull { row, (guarantee, mutator) ->
                    guarantee.takeIf { found(mutator).none { it.guarantee == guarantee } }?.let { "row $row: $it" }
                }
            assertEquals(emptyList(), missed)
        }
    }

    private companion object {
        const val SEED = 20_261
        const val MAX_SHOWN = 12
    }
}
