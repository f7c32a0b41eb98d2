package samphirechute.routing.flow

import samphirechute.routing.Grant
import samphirechute.routing.GrantEnding
import samphirechute.routing.GrantResult

/** Tracks the grants of one request for [RequestFlow], so that each grant that arrives is released exactly once. */
internal class GrantTracker {
    private val seen = mutableSetOf<Grant>()
    private val abandoned = mutableMapOf<Int, Grant>()
    private var held: Grant? = null

    /** Remembers [grant]. Returns false when it arrived before. */
    fun addIfNew(grant: Grant) = seen.add(grant)

    fun hold(grant: Grant) {
        check(held == null) { "a grant of attempt ${held?.key?.attempt} is still held" }
        held = grant
    }

    fun release(
        attempt: Attempt,
        ending: GrantEnding,
        nextOffset: Long,
    ): FlowOutput {
        check(held == attempt.grant) { "the grant of attempt ${attempt.number} is not held" }
        held = null
        if (ending != GrantEnding.COMPLETED) abandoned[attempt.number] = attempt.grant
        return FlowOutput.ReleaseGrant(attempt.grant, attempt.result(ending, nextOffset))
    }

    fun releaseUnused(grant: Grant): FlowOutput = FlowOutput.ReleaseGrant(grant, GrantResult(GrantEnding.UNUSED))

    /** Cancels an abandoned attempt once more. It still answers, so its first cancellation was lost. */
    fun cancelAgain(attempt: Int): List<FlowOutput> =
        abandoned.remove(attempt)?.let { listOf(FlowOutput.CancelAttempt(it, attempt, retireConnection = true)) }
            ?: emptyList()
}
