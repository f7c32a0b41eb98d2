package samphirechute.routing.flow.matrix

import samphirechute.core.RunState
import samphirechute.routing.flow.ClaimAnswer
import samphirechute.routing.flow.FlowOutcome
import samphirechute.routing.flow.StoredAnswer

/** Stores the claim of the only request of a cell, by the rules of the replicated log. */
internal class FakeClaimStore {
    var status = ClaimStatus.NONE
        private set
    private var claimant: Any? = null
    private var expiresMs = 0L
    private val restarted = mutableSetOf<Any>()

    fun claim(
        by: Any,
        deadlineMs: Long,
        nowMs: Long,
    ): ClaimAnswer {
        if (status == ClaimStatus.RUNNING && (claimant in restarted || nowMs > expiresMs)) status = ClaimStatus.UNKNOWN
        return when (status) {
            ClaimStatus.RUNNING -> {
                if (claimant == by) ClaimAnswer.Accepted else ClaimAnswer.InProgress(RETRY_MS)
            }

            ClaimStatus.FINISHED -> {
                ClaimAnswer.Finished(StoredAnswer(OK, "text/plain", "stored"))
            }

            ClaimStatus.UNKNOWN -> {
                ClaimAnswer.Unknown
            }

            ClaimStatus.NONE, ClaimStatus.RELEASED -> {
                status = ClaimStatus.RUNNING
                claimant = by
                expiresMs = deadlineMs + GRACE_MS
                ClaimAnswer.Accepted
            }
        }
    }

    fun release(by: Any) {
        if (status == ClaimStatus.RUNNING && claimant == by) status = ClaimStatus.RELEASED
    }

    fun finish(
        by: Any,
        outcome: FlowOutcome,
    ) {
        if (status != ClaimStatus.RUNNING || claimant != by) return
        status = if (outcome.runState == RunState.RAN) ClaimStatus.FINISHED else ClaimStatus.UNKNOWN
    }

    fun restarted(claimant: Any) {
        restarted += claimant
    }

    private companion object {
        const val OK = 200
        const val RETRY_MS = 200L
        const val GRACE_MS = 5_000L
    }
}
