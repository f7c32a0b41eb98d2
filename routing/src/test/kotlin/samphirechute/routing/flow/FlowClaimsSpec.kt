package samphirechute.routing.flow

import org.junit.jupiter.api.Nested
import samphirechute.core.RunState
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** How a [RequestFlow] claims a non-repeatable request and settles the claim. */
class FlowClaimsSpec : FlowFixture() {
    @Nested
    inner class Claims {
        /** Guards against an unknown outcome caused only by a dead pooled connection. */
        @Test
        fun `only a non-repeatable request uses a fresh connection for its first attempt`() {
            for (isNonRepeatable in listOf(false, true)) {
                val flow = flow(isNonRepeatable).apply { feed(0L to FlowInput.Started) }
                flow.handle(FlowInput.ClaimAnswered(ClaimAnswer.Accepted), 0)
                val dispatch = assertIs<FlowOutput.Dispatch>(flow.handle(FlowInput.Granted(grant(1)), 0).single())
                assertEquals(isNonRepeatable, dispatch.useFreshConnection)
            }
        }

        /** Guards against reporting "not run" for a request that another instance is running. */
        @Test
        fun `waits until the deadline for a request that runs elsewhere and never reports it as not run`() {
            val flow = flow(isNonRepeatable = true, deadlineMs = 500).apply { feed(0L to FlowInput.Started) }
            assertEquals(emptyList(), flow.handle(FlowInput.ClaimAnswered(ClaimAnswer.InProgress(200)), 10))
            assertEquals(listOf<FlowOutput>(FlowOutput.AskClaim), flow.handle(FlowInput.Ticked, 210))
            flow.handle(FlowInput.ClaimAnswered(ClaimAnswer.InProgress(5_000)), 220)
            val outputs = flow.handle(FlowInput.Ticked, 500)
            assertEquals(RunState.UNKNOWN to FlowCode.IN_PROGRESS, outcome(outputs).let { it.runState to it.code })
            assertTrue(FlowOutput.ReleaseClaim !in outputs)
        }

        /** Guards against a claim that blocks all resends although its request was never sent. */
        @Test
        fun `a claim that may be committed is released, and released again when it is accepted late`() {
            val flow = flow(isNonRepeatable = true).apply { feed(0L to FlowInput.Started) }
            val unavailable = ClaimAnswer.Unavailable(mayBeCommitted = true, retryAfterMs = 100)
            val outputs = flow.handle(FlowInput.ClaimAnswered(unavailable), 300)
            assertEquals(FlowCode.STORE_UNAVAILABLE, outcome(outputs).code)
            assertTrue(FlowOutput.ReleaseClaim in outputs)
            val late = flow.handle(FlowInput.ClaimAnswered(ClaimAnswer.Accepted), 400)
            assertEquals(listOf<FlowOutput>(FlowOutput.ReleaseClaim), late)
        }

        /** Guards against reporting "not run" because of a refusal of another request, or one after the first token. */
        @Test
        fun `a refusal proves that nothing ran only when it names the request and comes before any token`() {
            val refused = FlowInput.AttemptFailed(1, AttemptFailure.REFUSED, "r1")
            val rows =
                listOf(
                    listOf(refused) to RunState.NOT_RUN,
                    listOf(refused.copy(requestId = "r2")) to RunState.UNKNOWN,
                    listOf(refused.copy(requestId = null)) to RunState.UNKNOWN,
                    listOf(tokens(1, 0), refused) to RunState.UNKNOWN,
                )
            for ((inputs, expected) in rows) {
                val flow = sent(flow(isNonRepeatable = true))
                val outputs = inputs.map { flow.handle(it, 100) }.last()
                assertEquals(expected, outcome(outputs).runState, "$inputs")
                val settled =
                    outputs.any { it == FlowOutput.ReleaseClaim } to outputs.any { it is FlowOutput.RecordOutcome }
                assertEquals((expected == RunState.NOT_RUN) to (expected == RunState.UNKNOWN), settled, "$inputs")
            }
        }

        /** Guards against reporting "not run" for a partly answered request if [FlowInput.BytesSent] was missed. */
        @Test
        fun `an answer proves that the request was sent`() {
            for (input in listOf(tokens(1, 0), FlowInput.AnswerEnded(1, "r2", 0))) {
                val flow = flow(isNonRepeatable = true).apply { feed(0L to FlowInput.Started) }
                flow.feed(1L to FlowInput.ClaimAnswered(ClaimAnswer.Accepted), 2L to FlowInput.Granted(grant(1)))
                val outputs = flow.handle(input, 10) + flow.handle(FlowInput.Ticked, 60_000)
                assertEquals(RunState.UNKNOWN, outcome(outputs).runState, "$input")
            }
        }

        /** Guards against reporting "not run" when the first sent byte is reported only at the deadline. */
        @Test
        fun `bytes sent count even when they are reported at the deadline`() {
            val flow = flow(isNonRepeatable = true).apply { feed(0L to FlowInput.Started) }
            flow.feed(1L to FlowInput.ClaimAnswered(ClaimAnswer.Accepted), 2L to FlowInput.Granted(grant(1)))
            assertEquals(RunState.UNKNOWN, outcome(flow.handle(FlowInput.BytesSent(1), 60_000)).runState)
        }

        /** Guards against a resend that finds no outcome although the caller was already given one. */
        @Test
        fun `the outcome is recorded before the request ends, and the request ends by its deadline in any case`() {
            for (end in listOf(FlowInput.OutcomeRecorded(true), FlowInput.OutcomeRecorded(false), FlowInput.Ticked)) {
                val flow = sent(flow(isNonRepeatable = true)).apply { feed(100L to tokens(1, 0)) }
                val ended = flow.handle(FlowInput.AnswerEnded(1, "r1", 1), 110)
                assertIs<FlowOutput.RecordOutcome>(ended.last())
                assertEquals(
                    RunState.RAN,
                    outcome(
                        flow.handle(
                            end,
                            if (end ==
                                FlowInput.Ticked
                            ) {
                                60_000
                            } else {
                                120
                            },
                        ),
                    ).runState,
                )
            }
        }
    }
}
