package samphirechute.daemon.controller

import samphirechute.daemon.Runtime
import samphirechute.routing.flow.ClaimAnswer
import samphirechute.routing.flow.StoredAnswer
import samphirechute.state.command.ClaimKey
import samphirechute.state.command.ClaimResult
import samphirechute.state.command.ClaimState
import samphirechute.state.command.Claimant
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult

/**
 * Claims non-repeatable requests in the replicated log and records their results. The caller API creates one [Claim]
 * for each such request; its [samphirechute.daemon.caller.RequestRunner] submits, releases or finishes it.
 */
internal class ClaimController(
    private val runtime: Runtime,
    private val store: StoreClient,
) {
    private var lastSequence = 0L

    /** Creates a claim for one request. It is not proposed to the store until [Claim.submit] is called. */
    fun claim(
        key: ClaimKey,
        bodyDigest: String,
    ) = Claim(key, bodyDigest, runtime.claimant.copy(sequence = ++lastSequence))

    inner class Claim(
        private val key: ClaimKey,
        private val bodyDigest: String,
        private val claimant: Claimant,
    ) {
        /** Proposes the claim; [onAnswer] is called once. */
        fun submit(
            remainingMs: Long,
            onAnswer: (ClaimAnswer) -> Unit,
        ) {
            val deadlineMs = System.currentTimeMillis() + remainingMs
            val command = Command.ClaimRequest(key, bodyDigest, claimant, deadlineMs)
            store.propose(command, minOf(remainingMs, CLAIM_TIMEOUT_MS)) { result ->
                val answer = toAnswer(result)
                runtime.ring.record("claim_answered", key.requestId, "answer" to answer::class.simpleName)
                onAnswer(answer)
            }
        }

        /** Releases the claim of a request that was not sent to an upstream and will not be. */
        fun release() = store.propose(Command.ReleaseClaim(key, claimant), RECORD_TIMEOUT_MS) { }

        /** Records the result; [onRecorded] gets false when the store rejected it or did not commit it in time. */
        fun record(
            result: ClaimResult,
            onRecorded: (Boolean) -> Unit,
        ) {
            store.propose(Command.FinishClaim(key, claimant, result), RECORD_TIMEOUT_MS) { outcome ->
                val isRecorded = outcome is StoreResult.Committed && outcome.result !is CommandResult.Rejected
                val fields = arrayOf("recorded" to isRecorded, "unknown" to result.isUnknown)
                runtime.ring.record("outcome_recorded", key.requestId, *fields)
                onRecorded(isRecorded)
            }
        }

        private fun toAnswer(result: StoreResult): ClaimAnswer =
            when (result) {
                is StoreResult.Unavailable -> ClaimAnswer.Unavailable(result.mayBeCommitted, RETRY_MS)
                is StoreResult.Committed -> toAnswer(result.result)
            }

        private fun toAnswer(result: CommandResult): ClaimAnswer {
            val claim = result as? CommandResult.Claim ?: return ClaimAnswer.Unavailable(false, RETRY_MS)
            return when (val state = claim.state) {
                ClaimState.Accepted -> ClaimAnswer.Accepted
                is ClaimState.Running -> toRunningAnswer(state)
                is ClaimState.Finished -> ClaimAnswer.Finished(state.result.toStoredAnswer())
                ClaimState.Unknown -> ClaimAnswer.Unknown
                ClaimState.OtherBody -> ClaimAnswer.OtherBody
            }
        }

        /** If the running claim is this one, an earlier try committed it and only its answer was lost. */
        private fun toRunningAnswer(state: ClaimState.Running) =
            if (state.claimant == claimant) ClaimAnswer.Accepted else ClaimAnswer.InProgress(POLL_MS)

        private fun ClaimResult.toStoredAnswer() = body?.let { StoredAnswer(status, contentType, it) }
    }

    private companion object {
        const val CLAIM_TIMEOUT_MS = 3_000L
        const val RECORD_TIMEOUT_MS = 10_000L
        const val POLL_MS = 200L
        const val RETRY_MS = 1_000L
    }
}
