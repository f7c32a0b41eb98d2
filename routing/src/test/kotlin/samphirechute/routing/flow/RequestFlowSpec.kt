package samphirechute.routing.flow

import org.junit.jupiter.api.Nested
import samphirechute.core.RequestId
import samphirechute.core.RunState
import samphirechute.core.UpstreamId
import samphirechute.routing.GrantEnding
import samphirechute.routing.GrantResult
import samphirechute.routing.RefusalReason
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Covers what the fault matrix does not: timeouts, retries across requests, and the results reported to the ledger. */
class RequestFlowSpec : FlowFixture() {
    @Nested
    inner class Silence {
        /** Guards against limits that ignore the expected times, or that end non-repeatable requests too early. */
        @Test
        fun `the silence limit follows from the expected times`() {
            val rows =
                listOf(
                    Triple("first token", sent(), 1_600L),
                    Triple("long prompt", sent(grant = grant(1, firstMs = 5_000)), 16_000L),
                    Triple("token", sent().apply { feed(300L to tokens(1, 0)) }, 1_500L),
                    Triple("not advancing", sent().apply { feed(300L to tokens(1, 0), 400L to tokens(1, 0)) }, 1_500L),
                    Triple("non-repeatable", sent(flow(isNonRepeatable = true)), 6_400L),
                    Triple("unknown times", sent(grant = grant(1, firstMs = 0, tokenMs = 0.0)), 30_000L),
                    Triple(
                        "connecting",
                        flow().apply { feed(0L to FlowInput.Started, 0L to FlowInput.Granted(grant(1))) },
                        1_000L,
                    ),
                )
            for ((name, flow, silentMs) in rows) {
                assertEquals(silentMs, flow.nextDueMs, name)
                assertEquals(emptyList(), flow.handle(FlowInput.Ticked, silentMs - 1), name)
                val cancel = flow.handle(FlowInput.Ticked, silentMs).first()
                assertTrue(cancel is FlowOutput.CancelAttempt && cancel.retireConnection, name)
            }
        }

        /** Guards against an upstream that counts as silent because the caller reads slowly. */
        @Test
        fun `the silence limit restarts when reading resumes after a pause for a slow caller`() {
            val flow = sent().apply { feed(300L to tokens(1, 0), 9_000L to FlowInput.ReadingResumed) }
            assertEquals(10_200, flow.nextDueMs)
            assertEquals(emptyList(), flow.handle(FlowInput.Ticked, 9_000))
        }

        /**
         * Guards against delivering a late answer, and against an engine kept busy because its cancellation was lost.
         */
        @Test
        fun `late tokens of an abandoned attempt are dropped and it is cancelled once more`() {
            val flow = sent().apply { feed(1_600L to FlowInput.Ticked) }
            val cancel = FlowOutput.CancelAttempt(grant(1), 1, retireConnection = true)
            assertEquals(listOf<FlowOutput>(cancel), flow.handle(tokens(1, 0), 1_700))
            assertEquals(emptyList(), flow.handle(FlowInput.AnswerEnded(1, "r1", 0), 1_701))
        }
    }

    @Nested
    inner class WholeAnswers {
        /** Guards against an answer with a gap, a missing end, or tokens of another request. */
        @Test
        fun `an attempt ends at anything that does not continue the answer`() {
            val rows =
                listOf(
                    "gap" to tokens(1, 4),
                    "token of another request" to tokens(1, 3).copy(requestId = "r2"),
                    "end of another request" to FlowInput.AnswerEnded(1, "r2", 3),
                    "missing end" to FlowInput.AnswerEnded(1, "r1", 5),
                    "end before what was delivered" to FlowInput.AnswerEnded(1, "r1", 2),
                )
            for ((name, input) in rows) {
                val flow = sent().apply { feed(250L to tokens(1, 0, 3)) }
                val outputs = flow.handle(input, 260)
                val released = outputs.filterIsInstance<FlowOutput.ReleaseGrant>().single().result
                assertEquals(GrantEnding.FAILED to 3L, released.ending to released.generatedTokens, name)
                assertTrue(outputs.none { it is FlowOutput.Deliver || it is FlowOutput.Finish }, name)
                assertIs<FlowState.AwaitingGrant>(flow.state, name)
            }
        }
    }

    @Nested
    inner class Retries {
        /** Guards against retries on an upstream or a connection that may be dead. */
        @Test
        fun `retries go to another upstream on a fresh connection and resume at the next token`() {
            val flow = sent().apply { feed(250L to tokens(1, 0, 3)) }
            val asked = flow.handle(FlowInput.AttemptFailed(1, AttemptFailure.CLOSED), 300)
            assertEquals(setOf(UpstreamId("e1")), asked.filterIsInstance<FlowOutput.AskGrant>().single().excluded)
            val dispatch = FlowOutput.Dispatch(grant(2), 2, resumeOffset = 3, useFreshConnection = true)
            assertEquals(listOf<FlowOutput>(dispatch), flow.handle(FlowInput.Granted(grant(2)), 310))
            val delivered = flow.handle(tokens(2, 2, 3), 400)
            assertEquals(listOf<FlowOutput>(FlowOutput.Deliver(3, listOf("t3", "t4"))), delivered)
        }

        /** Guards against a retry storm when many requests lose their upstream at the same time. */
        @Test
        fun `retries stop when the budget is exhausted, and the request ends at once`() {
            val codes =
                (1..30).map { index ->
                    val flow = sent(flow(id = "r1"))
                    val outputs = flow.handle(FlowInput.AttemptFailed(1, AttemptFailure.CLOSED), 300L + index)
                    outputs
                        .filterIsInstance<FlowOutput.Finish>()
                        .singleOrNull()
                        ?.outcome
                        ?.code
                }
            assertEquals(List(10) { null } + List(20) { FlowCode.UPSTREAM_FAILED }, codes)
        }

        /** Guards against a budget that stays at its floor regardless of the number of successes. */
        @Test
        fun `retries are also allowed for a tenth of the successful answers`() {
            repeat(100) { sent().feed(100L to tokens(1, 0), 110L to FlowInput.AnswerEnded(1, "r1", 1)) }
            assertEquals(20, (1..50).count { budget.tryAcquire(200) })
        }

        /** Guards against sending new requests to an upstream that is known to be silent. */
        @Test
        fun `other requests avoid the upstream until one of them has probed it`() {
            sent().feed(1_600L to FlowInput.Ticked)
            val excluded = { flow: RequestFlow, atMs: Long ->
                val asked = flow.handle(FlowInput.Started, atMs).single()
                assertIs<FlowOutput.AskGrant>(asked).excluded.map { it.value }
            }
            assertEquals(listOf("e1"), excluded(flow(id = "r2"), 2_500))
            val probingRequest = flow(id = "r3")
            assertEquals(emptyList(), excluded(probingRequest, 2_600))
            assertEquals(listOf("e1"), excluded(flow(id = "r4"), 2_600))
            probingRequest.handle(FlowInput.Granted(grant(1, upstream = "e2")), 2_610)
            assertEquals(emptyList(), excluded(flow(id = "r5"), 2_620), "the probing request used another upstream")
        }

        /** Guards against failing a started request although a new coordinator is about to be elected. */
        @Test
        fun `a retry waits after a temporary refusal, but a first attempt does not`() {
            val refusal = FlowInput.GrantRefused(1, RefusalReason.NOT_COORDINATOR, 400)
            val fresh = flow().apply { feed(0L to FlowInput.Started) }
            assertEquals(FlowCode.NO_CAPACITY, outcome(fresh.handle(refusal, 10)).code)
            val begun = sent().apply { feed(300L to FlowInput.AttemptFailed(1, AttemptFailure.CLOSED)) }
            assertEquals(emptyList(), begun.handle(refusal.copy(attempt = 1), 310))
            assertEquals(60_000 - 290 + 1L, begun.nextDueMs, "a refusal of an earlier attempt changes nothing")
            assertEquals(emptyList(), begun.handle(refusal.copy(attempt = 2), 310))
            assertEquals(710, begun.nextDueMs)
            assertEquals(2, assertIs<FlowOutput.AskGrant>(begun.handle(FlowInput.Ticked, 710).single()).attempt)
        }
    }

    @Nested
    inner class GivingUp {
        /** Guards against reporting a failure only at the deadline although it was certain earlier. */
        @Test
        fun `gives up as soon as the answer can no longer be in time`() {
            val late = flow(deadlineMs = 250).apply { feed(0L to FlowInput.Started) }
            val outputs = late.handle(FlowInput.Granted(grant(1)), 10)
            assertEquals(
                listOf(GrantEnding.UNUSED),
                outputs.filterIsInstance<FlowOutput.ReleaseGrant>().map { it.result.ending },
            )
            assertEquals(
                RunState.NOT_RUN to FlowCode.DEADLINE_UNREACHABLE,
                outcome(outputs).let {
                    it.runState to
                        it.code
                },
            )

            val prefilling = sent(flow(deadlineMs = 500))
            assertEquals(411, prefilling.nextDueMs)
            val ended = outcome(prefilling.handle(FlowInput.Ticked, 411))
            assertEquals(RunState.UNKNOWN to FlowCode.DEADLINE_UNREACHABLE, ended.runState to ended.code)

            val waiting = RequestFlow(FlowRequest(RequestId("r1"), 1_000, minRunMs = 300), budget, health)
            waiting.handle(FlowInput.Started, 0)
            assertEquals(701, waiting.nextDueMs)
            val withdrawn = waiting.handle(FlowInput.Ticked, 701)
            assertEquals<FlowOutput>(FlowOutput.WithdrawGrant(1), withdrawn.first())
            assertEquals(RunState.NOT_RUN, outcome(withdrawn).runState)
        }
    }

    @Nested
    inner class Results {
        /** Guards against results with wrong times, or without the tokens that a resumed attempt generated. */
        @Test
        fun `the result of a grant has the number of generated tokens and the times`() {
            val flow = sent().apply { feed(250L to tokens(1, 0), 270L to tokens(1, 1), 300L to tokens(1, 2, 2)) }
            val released = flow.handle(FlowInput.AnswerEnded(1, "r1", 4), 310).first()
            val result = GrantResult(GrantEnding.COMPLETED, firstTokenMs = 250, tokenMs = 50.0 / 3, generatedTokens = 4)
            assertEquals<FlowOutput>(FlowOutput.ReleaseGrant(grant(1), result), released)
        }
    }
}
