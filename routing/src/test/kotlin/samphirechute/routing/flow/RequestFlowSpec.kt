package samphirechute.routing.flow

import org.junit.jupiter.api.Nested
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.RunState
import samphirechute.core.UpstreamId
import samphirechute.routing.Grant
import samphirechute.routing.GrantEnding
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantPart
import samphirechute.routing.GrantResult
import samphirechute.routing.RefusalReason
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** What the fault matrix does not look at: times, retries across requests, and what the ledger is told. */
class RequestFlowSpec {
    private val budget = RetryBudget()
    private val health = UpstreamHealth()

    private fun flow(
        isNonRepeatable: Boolean = false,
        id: String = "r1",
        deadlineMs: Long = 60_000,
        tokens: Long = 10,
    ) = RequestFlow(FlowRequest(RequestId(id), deadlineMs, isNonRepeatable, isNonRepeatable, tokens), budget, health)

    private fun grant(
        attempt: Int,
        upstream: String = "e$attempt",
        firstMs: Long = 200,
        tokenMs: Double = 10.0,
    ): Grant {
        val part = GrantPart(UpstreamId(upstream), 1, HostPort("127.0.0.1", 1), memoryTokens = 10, prefillTokens = 10)
        val key = GrantKey(InstanceId("i1"), RequestId("r1"), attempt)
        return Grant(key, 1, listOf(part), expectedFirstTokenMs = firstMs, expectedTokenMs = tokenMs)
    }

    private fun tokens(
        attempt: Int,
        offset: Long,
        count: Int = 1,
    ) = FlowInput.TokensArrived(attempt, "r1", offset, List(count) { "t${offset + it}" })

    private fun RequestFlow.feed(vararg inputs: Pair<Long, FlowInput>): List<FlowOutput> =
        inputs.map { (atMs, input) -> handle(input, atMs) }.last()

    /** A flow whose first attempt was sent at 0. */
    private fun sent(
        flow: RequestFlow = flow(),
        grant: Grant = grant(1),
    ) = flow.apply {
        feed(0L to FlowInput.Started)
        if (state is FlowState.Claiming) feed(0L to FlowInput.ClaimAnswered(ClaimAnswer.Accepted))
        feed(0L to FlowInput.Granted(grant), 0L to FlowInput.BytesSent(1))
    }

    private fun outcome(outputs: List<FlowOutput>) = outputs.filterIsInstance<FlowOutput.Finish>().single().outcome

    @Nested
    inner class Silence {
        /** Guards against limits that ignore the expected times, or that cut off requests that no retry can follow. */
        @Test
        fun `is judged by the expected times`() {
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

        /** Guards against a late answer that is delivered, or that keeps an engine busy after its cancel was lost. */
        @Test
        fun `late tokens of an abandoned attempt are dropped and it is cancelled once more`() {
            val flow = sent().apply { feed(1_600L to FlowInput.Ticked) }
            val cancel = FlowOutput.CancelAttempt(grant(1), 1, retireConnection = true)
            assertEquals(listOf<FlowOutput>(cancel), flow.handle(tokens(1, 0), 1_700))
            assertEquals(emptyList(), flow.handle(FlowInput.AnswerEnded(1, "r1", 0), 1_701))
        }
    }

    @Nested
    inner class Retries {
        /** Guards against retries that reuse a connection or an upstream that may be silent. */
        @Test
        fun `go to another upstream on a fresh connection and resume at the next token`() {
            val flow = sent().apply { feed(250L to tokens(1, 0, 3)) }
            val asked = flow.handle(FlowInput.AttemptFailed(1, AttemptFailure.CLOSED), 300)
            assertEquals(setOf(UpstreamId("e1")), asked.filterIsInstance<FlowOutput.AskGrant>().single().excluded)
            val dispatch = FlowOutput.Dispatch(grant(2), 2, resumeOffset = 3, useFreshConnection = true)
            assertEquals(listOf<FlowOutput>(dispatch), flow.handle(FlowInput.Granted(grant(2)), 310))
            val delivered = flow.handle(tokens(2, 2, 3), 400)
            assertEquals(listOf<FlowOutput>(FlowOutput.Deliver(3, listOf("t3", "t4"))), delivered)
        }

        /** Guards against a retry storm when many requests lose their upstream at once. */
        @Test
        fun `stop when the budget is used up, and the caller is told at once`() {
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

        /** Guards against an instance that sends each new request to an upstream that it knows to be silent. */
        @Test
        fun `other requests avoid the upstream until one of them has probed it`() {
            sent().feed(1_600L to FlowInput.Ticked)
            val excluded = { id: String, atMs: Long ->
                val asked = flow(id = id).handle(FlowInput.Started, atMs).single()
                assertIs<FlowOutput.AskGrant>(asked).excluded.map { it.value }
            }
            assertEquals(listOf("e1"), excluded("r2", 2_500))
            assertEquals(emptyList(), excluded("r3", 2_600))
            assertEquals(listOf("e1"), excluded("r4", 2_600))
        }

        /** Guards against a request that fails although a new coordinator is about to be elected. */
        @Test
        fun `wait out a refusal that passes, which a request that has not begun does not`() {
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
        /** Guards against answers that are held back until the deadline although they cannot be given any more. */
        @Test
        fun `happens as soon as the answer can no longer be in time`() {
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

            val waiting = RequestFlow(FlowRequest(RequestId("r1"), 1_000, leastRunMs = 300), budget, health)
            waiting.handle(FlowInput.Started, 0)
            assertEquals(701, waiting.nextDueMs)
            assertEquals(RunState.NOT_RUN, outcome(waiting.handle(FlowInput.Ticked, 701)).runState)
        }
    }

    @Nested
    inner class Claims {
        /** Guards against "not run" for a request that another instance is running. */
        @Test
        fun `a request that runs elsewhere is waited for until the deadline and is never called not run`() {
            val flow = flow(isNonRepeatable = true, deadlineMs = 500).apply { feed(0L to FlowInput.Started) }
            assertEquals(emptyList(), flow.handle(FlowInput.ClaimAnswered(ClaimAnswer.InProgress(200)), 10))
            assertEquals(listOf<FlowOutput>(FlowOutput.AskClaim), flow.handle(FlowInput.Ticked, 210))
            flow.handle(FlowInput.ClaimAnswered(ClaimAnswer.InProgress(5_000)), 220)
            val outputs = flow.handle(FlowInput.Ticked, 500)
            assertEquals(RunState.UNKNOWN to FlowCode.IN_PROGRESS, outcome(outputs).let { it.runState to it.code })
            assertTrue(FlowOutput.ReleaseClaim !in outputs)
        }

        /** Guards against a claim that blocks every resend although its request was never sent. */
        @Test
        fun `a claim that may have been committed is released, again when it is accepted late`() {
            val flow = flow(isNonRepeatable = true).apply { feed(0L to FlowInput.Started) }
            val unavailable = ClaimAnswer.Unavailable(mayBeCommitted = true, retryAfterMs = 100)
            val outputs = flow.handle(FlowInput.ClaimAnswered(unavailable), 300)
            assertEquals(FlowCode.STORE_UNAVAILABLE, outcome(outputs).code)
            assertTrue(FlowOutput.ReleaseClaim in outputs)
            val late = flow.handle(FlowInput.ClaimAnswered(ClaimAnswer.Accepted), 400)
            assertEquals(listOf<FlowOutput>(FlowOutput.ReleaseClaim), late)
        }

        /** Guards against "not run" on the word of a refusal that was meant for another request, or came too late. */
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

        /** Guards against "not run" when the flow hears of the first byte only at the deadline. */
        @Test
        fun `bytes sent count even when they are reported at the deadline`() {
            val flow = flow(isNonRepeatable = true).apply { feed(0L to FlowInput.Started) }
            flow.feed(1L to FlowInput.ClaimAnswered(ClaimAnswer.Accepted), 2L to FlowInput.Granted(grant(1)))
            assertEquals(RunState.UNKNOWN, outcome(flow.handle(FlowInput.BytesSent(1), 60_000)).runState)
        }

        /** Guards against a resend that finds no answer although the caller has got one. */
        @Test
        fun `the outcome is recorded before the request ends, and the caller is told by its deadline in any case`() {
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

    @Nested
    inner class Results {
        /** Guards against a ledger that learns wrong times, or nothing of what a resumed attempt generated. */
        @Test
        fun `the ledger is told what the attempt generated and how fast`() {
            val flow = sent().apply { feed(250L to tokens(1, 0), 270L to tokens(1, 1), 300L to tokens(1, 2, 2)) }
            val released = flow.handle(FlowInput.AnswerEnded(1, "r1", 4), 310).first()
            val result = GrantResult(GrantEnding.COMPLETED, firstTokenMs = 250, tokenMs = 50.0 / 3, generatedTokens = 4)
            assertEquals<FlowOutput>(FlowOutput.ReleaseGrant(grant(1), result), released)
        }
    }
}
