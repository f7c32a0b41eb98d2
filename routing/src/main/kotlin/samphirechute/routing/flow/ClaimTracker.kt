package samphirechute.routing.flow

import samphirechute.core.RunState

/** Follows the claim of one request, so that it ends finished, released, or recorded as unknown. */
internal class ClaimTracker {
    private var status = Status.NONE

    /** True while another claimant runs the request, as far as the store has said. */
    var isRunningElsewhere = false
        private set

    fun ask(): FlowOutput {
        status = Status.ASKED
        return FlowOutput.AskClaim
    }

    /** Takes note of an answer; gives what must be done when the flow no longer waits for it. */
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

    /** Gives the claim back, when there is one or may be one. */
    fun release(): List<FlowOutput> {
        if (status != Status.ASKED && status != Status.HELD) return emptyList()
        status = Status.ABANDONED
        return listOf(FlowOutput.ReleaseClaim)
    }

    /** Settles the claim of a request that ended without its whole answer. */
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

/** What the caller is told when the claim was not given to its request. */
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
            error("an accepted claim is no outcome")
        }
    }

internal fun inProgressOutcome(retryAfterMs: Long) =
    FlowOutcome(RunState.UNKNOWN, FlowCode.IN_PROGRESS, "the request is still running elsewhere", retryAfterMs)
