package samphirechute.routing.flow

import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.routing.Grant
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantPart

/** Creates flows that share a retry budget and upstream health, and passes inputs to them. */
abstract class FlowFixture {
    internal val budget = RetryBudget()
    internal val health = UpstreamHealth()

    internal fun flow(
        isNonRepeatable: Boolean = false,
        id: String = "r1",
        deadlineMs: Long = 60_000,
        tokens: Long = 10,
    ) = RequestFlow(FlowRequest(RequestId(id), deadlineMs, isNonRepeatable, isNonRepeatable, tokens), budget, health)

    internal fun grant(
        attempt: Int,
        upstream: String = "e$attempt",
        firstMs: Long = 200,
        tokenMs: Double = 10.0,
    ): Grant {
        val part = GrantPart(UpstreamId(upstream), 1, HostPort("127.0.0.1", 1), memoryTokens = 10, prefillTokens = 10)
        val key = GrantKey(InstanceId("i1"), RequestId("r1"), attempt)
        return Grant(key, 1, listOf(part), expectedFirstTokenMs = firstMs, expectedTokenMs = tokenMs)
    }

    internal fun tokens(
        attempt: Int,
        offset: Long,
        count: Int = 1,
    ) = FlowInput.TokensArrived(attempt, "r1", offset, List(count) { "t${offset + it}" })

    /** Handles each input at its time and returns the outputs of the last one. */
    internal fun RequestFlow.feed(vararg inputs: Pair<Long, FlowInput>): List<FlowOutput> =
        inputs.map { (atMs, input) -> handle(input, atMs) }.last()

    /** Brings [flow] to the state after the first byte of its first attempt was sent, at time 0. */
    internal fun sent(
        flow: RequestFlow = flow(),
        grant: Grant = grant(1),
    ) = flow.apply {
        feed(0L to FlowInput.Started)
        if (state is FlowState.Claiming) feed(0L to FlowInput.ClaimAnswered(ClaimAnswer.Accepted))
        feed(0L to FlowInput.Granted(grant), 0L to FlowInput.BytesSent(1))
    }

    internal fun outcome(outputs: List<FlowOutput>) = outputs.filterIsInstance<FlowOutput.Finish>().single().outcome
}
