package samphirechute.routing.flow

import samphirechute.core.RunState

/**
 * Tracks the claim of one non-repeatable request for [RequestFlow]. The claim ends in one of three ways: finished with
 * its outcome, released, or recorded with an unknown outcome.
 */
internal class ClaimTracker {
    private var status = Status.NONE

    /** True while another claimant runs the request, according to the last response of the store. */
    var isRunningElsewhere = false
        private set

    fun ask(): FlowOutput {
        status = Status.ASKED
        return FlowOutput.AskClaim
    }

    /**
     * Handles an answer of the store. When the flow does not wait for it any more, returns the output that releases a
     * claim accepted too late.
     */
    fun handleAnswer(
        answer: ClaimAnswer,
        isAwaited: Boolean,
    ): List<FlowOutput> {
        if (isAwaited) {
            status = statusAfter(answer)
            isRunningElsewhere = answer is ClaimAnswer.InProgress
            return emptyList()
        }
        val isAcceptedTooLate = answer == ClaimAnswer.Accepted && status == Status.ABANDONED
        return if (isAcceptedTooLate) listOf(FlowOutput.ReleaseClaim) else emptyList()
    }

    /** Releases the claim, if it is held or may have been committed. */
    fun release(): List<FlowOutput> {
        if (status != Status.ASKED && status != Status.HELD) return emptyList()
        status = Status.ABANDONED
        return listOf(FlowOutput.ReleaseClaim)
    }

    /** Settles the claim when the request ends: records an unknown outcome, or else releases a claim still held. */
    fun settle(outcome: FlowOutcome): List<FlowOutput> =
        if (status == Status.HELD && outcome.runState == RunState.UNKNOWN) listOf(record(outcome)) else release()

    fun record(outcome: FlowOutcome): FlowOutput {
        status = Status.RECORDED
        return FlowOutput.RecordOutcome(outcome)
    }

    private fun statusAfter(answer: ClaimAnswer) =
        when (answer) {
            ClaimAnswer.Accepted -> Status.HELD
            is ClaimAnswer.Unavailable -> if (answer.mayBeCommitted) Status.ASKED else Status.NONE
            else -> Status.NONE
        }

    private enum class Status { NONE, ASKED, HELD, ABANDONED, RECORDED }
}

private const val RETRY_AFTER_MS = 1_000L

/** The outcome for the caller when the store did not accept the claim. */
internal fun ClaimAnswer.toOutcome(): FlowOutcome =
    when (this) {
        is ClaimAnswer.Finished -> {
            if (answer == null) {
                FlowOutcome(RunState.RAN, FlowCode.ANSWER_NOT_KEPT, "the request ran; its answer was too large to keep")
            } else {
                FlowOutcome(RunState.RAN, null, null, stored = answer)
            }
        }

        is ClaimAnswer.InProgress -> {
            inProgressOutcome(retryAfterMs)
        }

        ClaimAnswer.Unknown -> {
            FlowOutcome(
                RunState.UNKNOWN,
                FlowCode.OUTCOME_UNKNOWN,
                "an earlier run lost its outcome; it is not repeated",
                RETRY_AFTER_MS,
            )
        }

        ClaimAnswer.OtherBody -> {
            FlowOutcome(RunState.NOT_RUN, FlowCode.REQUEST_ID_REUSED, "the request id was used with another body")
        }

        is ClaimAnswer.Unavailable -> {
            FlowOutcome(RunState.NOT_RUN, FlowCode.STORE_UNAVAILABLE, "no quorum took the claim", retryAfterMs)
        }

        ClaimAnswer.Accepted -> {
            error("an accepted claim has no outcome")
        }
    }

internal fun inProgressOutcome(retryAfterMs: Long) =
    FlowOutcome(RunState.UNKNOWN, FlowCode.IN_PROGRESS, "the request is still running elsewhere", retryAfterMs)
