package samphirechute.routing.flow

import samphirechute.core.RunState
import samphirechute.core.UpstreamId
import samphirechute.routing.Grant
import samphirechute.routing.GrantEnding
import samphirechute.routing.RefusalReason

/**
 * State machine of one request on the instance that accepted it: claim (non-repeatable requests only), grant, attempts
 * at upstreams, answer and outcome. It does no I/O and has no clock. The instance passes it events through [handle] and
 * executes the outputs.
 *
 * It guarantees that the answer is delivered without gaps and repeats, that each grant is released once, and that the
 * request ends by its deadline, provided that [FlowInput.Ticked] is passed to [handle] at [nextDueMs].
 *
 * [budget] and [health] are shared by all requests of the instance.
 */
class RequestFlow(
    private val request: FlowRequest,
    private val budget: RetryBudget,
    private val health: UpstreamHealth,
) {
    var state: FlowState = FlowState.Accepted
        private set

    /** The time by which the flow needs its next input; pass [FlowInput.Ticked] if there is no other. */
    val nextDueMs: Long get() = times.nextDueMs(state, answer.nextOffset)

    private var out = mutableListOf<FlowOutput>()
    private val times = FlowTimes(request)
    private val answer = AnswerAssembly(request.id.value)
    private val claim = ClaimTracker()
    private val grants = GrantTracker()
    private val triedUpstreams = mutableSetOf<UpstreamId>()

    /** The numbers of the attempts that an upstream may have run, at least in part. */
    private val sentAttempts = mutableSetOf<Int>()

    /** Handles one event and returns the outputs to execute, in order. */
    fun handle(
        input: FlowInput,
        nowMs: Long,
    ): List<FlowOutput> {
        out = mutableListOf()
        // Comes before the deadline check: bytes sent before the deadline count even if reported after it. Otherwise
        // a request that an upstream may have run would end as not run.
        if (input is FlowInput.BytesSent) onBytesSent(input.attempt, nowMs)
        if (nowMs >= request.deadlineMs) stop(FlowCode.DEADLINE_EXCEEDED, "the deadline has passed")
        when (input) {
            FlowInput.Started -> start(nowMs)
            is FlowInput.ClaimAnswered -> onClaimAnswered(input.answer, nowMs)
            is FlowInput.Granted -> onGranted(input.grant, nowMs)
            is FlowInput.GrantRefused -> onGrantRefused(input, nowMs)
            is FlowInput.BytesSent -> return out
            is FlowInput.TokensArrived -> onTokensArrived(input, nowMs)
            is FlowInput.AnswerEnded -> onAnswerEnded(input, nowMs)
            is FlowInput.AttemptFailed -> onAttemptFailed(input, nowMs)
            is FlowInput.OutcomeRecorded -> (state as? FlowState.Recording)?.let { finish(it.outcome) }
            FlowInput.CallerGone -> if (!request.continuesWithoutCaller) stop(FlowCode.CALLER_GONE, "the caller left")
            FlowInput.ReadingResumed -> onReadingResumed(nowMs)
            FlowInput.Ticked -> onTicked(nowMs)
        }
        return out
    }

    private fun start(nowMs: Long) {
        if (state != FlowState.Accepted) return
        if (request.isNonRepeatable) askClaim() else askGrant(FIRST_ATTEMPT, nowMs)
    }

    private fun askClaim() {
        state = FlowState.Claiming()
        out += claim.ask()
    }

    private fun onClaimAnswered(
        claimAnswer: ClaimAnswer,
        nowMs: Long,
    ) {
        val isAwaited = state is FlowState.Claiming
        out += claim.handleAnswer(claimAnswer, isAwaited)
        if (!isAwaited) return
        when (claimAnswer) {
            ClaimAnswer.Accepted -> askGrant(FIRST_ATTEMPT, nowMs)
            is ClaimAnswer.InProgress -> state = FlowState.Claiming(times.askAgainMs(claimAnswer.retryAfterMs, nowMs))
            else -> finish(claimAnswer.toOutcome())
        }
    }

    private fun askGrant(
        attempt: Int,
        nowMs: Long,
    ) {
        state = FlowState.AwaitingGrant(attempt)
        val unhealthy = health.excludedFor(request.id, mayProbe = !request.isNonRepeatable, nowMs)
        out += FlowOutput.AskGrant(attempt, unhealthy + triedUpstreams)
    }

    private fun onGranted(
        grant: Grant,
        nowMs: Long,
    ) {
        if (!grants.addIfNew(grant)) return
        val attempt = (state as? FlowState.AwaitingGrant)?.attempt
        if (attempt != grant.key.attempt) {
            out += grants.releaseUnused(grant)
            return
        }
        val neededMs = times.neededMs(grant, answer.nextOffset)
        if (nowMs + neededMs > request.deadlineMs) {
            out += grants.releaseUnused(grant)
            giveUp(FlowCode.DEADLINE_UNREACHABLE, "the answer would take $neededMs ms, more than remains")
            return
        }
        times.recordGrant(grant)
        health.endUnusedProbes(request.id, grant.primary.upstream)
        triedUpstreams += grant.primary.upstream
        grants.hold(grant)
        state = FlowState.Dispatched(Attempt(grant, attempt, answer.nextOffset, nowMs))
        // A pooled connection may be dead without notice. A retry must not risk that again, and a non-repeatable
        // request has no retry.
        val needsFresh = request.isNonRepeatable || attempt > FIRST_ATTEMPT
        out += FlowOutput.Dispatch(grant, attempt, answer.nextOffset, needsFresh)
    }

    private fun onGrantRefused(
        refusal: FlowInput.GrantRefused,
        nowMs: Long,
    ) {
        val waiting = state as? FlowState.AwaitingGrant ?: return
        if (waiting.attempt != refusal.attempt || waiting.askAgainMs != null) return
        health.endUnusedProbes(request.id, null)
        val againMs = times.askAgainMs(refusal.retryAfterMs, nowMs)
        val isWorthWaiting = waiting.attempt > FIRST_ATTEMPT && refusal.reason in TRANSIENT_REASONS
        if (isWorthWaiting && againMs <= times.latestGrantMs(answer.nextOffset)) {
            state = waiting.copy(askAgainMs = againMs)
            return
        }
        val reason = refusal.reason.name.lowercase()
        giveUp(FlowCode.NO_CAPACITY, "no upstream has room for the request: $reason", refusal.retryAfterMs)
    }

    private fun onBytesSent(
        number: Int,
        nowMs: Long,
    ) {
        val attempt = (state as? FlowState.Dispatched)?.attempt?.takeIf { it.number == number } ?: return
        sentAttempts += number
        if (!attempt.isSent) state = FlowState.Dispatched(attempt.copy(isSent = true, lastActiveMs = nowMs))
    }

    private fun onTokensArrived(
        tokens: FlowInput.TokensArrived,
        nowMs: Long,
    ) {
        val current = current(tokens.attempt) ?: return repeatCancel(tokens.attempt)
        sentAttempts += tokens.attempt
        val offset = answer.nextOffset
        val fresh = answer.accept(tokens) ?: return failAttempt(current, GrantEnding.FAILED, nowMs)
        val attempt = current.advancedTo(tokens.offset + tokens.texts.size, nowMs)
        if (current.firstTokenAtMs == null) health.recordSuccess(attempt.grant.primary.upstream)
        if (fresh.isNotEmpty()) out += FlowOutput.Deliver(offset, fresh)
        state = FlowState.Streaming(attempt, answer.nextOffset)
    }

    private fun onReadingResumed(nowMs: Long) {
        val current = state as? FlowState.Streaming ?: return
        state = current.copy(attempt = current.attempt.copy(lastActiveMs = nowMs))
    }

    private fun onAnswerEnded(
        end: FlowInput.AnswerEnded,
        nowMs: Long,
    ) {
        val attempt = current(end.attempt) ?: return repeatCancel(end.attempt)
        sentAttempts += end.attempt
        if (!answer.isComplete(end)) return failAttempt(attempt, GrantEnding.FAILED, nowMs)
        out += grants.release(attempt, GrantEnding.COMPLETED, answer.nextOffset)
        health.recordSuccess(attempt.grant.primary.upstream)
        budget.recordSuccess(nowMs)
        val outcome = FlowOutcome(RunState.RAN, null, null)
        if (request.isNonRepeatable) {
            state = FlowState.Recording(outcome)
            out += claim.record(outcome)
        } else {
            finish(outcome)
        }
    }

    private fun onAttemptFailed(
        failed: FlowInput.AttemptFailed,
        nowMs: Long,
    ) {
        val attempt = current(failed.attempt) ?: return
        // A refusal proves that nothing ran only when it names this request and comes before any token.
        val isOwnRefusal = failed.failure == AttemptFailure.REFUSED && failed.requestId == request.id.value
        if (!isOwnRefusal || attempt.firstTokenAtMs != null) return failAttempt(attempt, GrantEnding.FAILED, nowMs)
        sentAttempts -= attempt.number
        out += grants.release(attempt, GrantEnding.REFUSED, answer.nextOffset)
        retryOrGiveUp(attempt, FlowCode.UPSTREAM_REFUSED, "the upstream refused the request", nowMs)
    }

    /** Ends an attempt that will not deliver the rest of the answer, then retries or gives up. */
    private fun failAttempt(
        attempt: Attempt,
        ending: GrantEnding,
        nowMs: Long,
    ) {
        health.recordFailure(attempt.grant.primary.upstream, nowMs)
        if (attempt.number in sentAttempts) {
            abandon(attempt, ending)
            retryOrGiveUp(attempt, FlowCode.UPSTREAM_FAILED, "the answer of the upstream was lost", nowMs)
        } else {
            abandon(attempt, GrantEnding.UNUSED)
            retryOrGiveUp(attempt, FlowCode.UPSTREAM_UNREACHABLE, "the upstream could not be reached", nowMs)
        }
    }

    private fun abandon(
        attempt: Attempt,
        ending: GrantEnding,
    ) {
        out += FlowOutput.CancelAttempt(attempt.grant, attempt.number, ending != GrantEnding.CANCELLED)
        out += grants.release(attempt, ending, answer.nextOffset)
    }

    private fun retryOrGiveUp(
        attempt: Attempt,
        code: String,
        message: String,
        nowMs: Long,
    ) {
        val isInTime = nowMs <= times.latestGrantMs(answer.nextOffset)
        if (!request.isNonRepeatable && isInTime && attempt.number < MAX_ATTEMPTS && budget.tryAcquire(nowMs)) {
            out +=
                FlowOutput.RecordEvent(
                    "attempt_retried",
                    mapOf("attempt" to attempt.number.toString(), "reason" to code),
                )
            askGrant(attempt.number + 1, nowMs)
        } else {
            giveUp(code, message)
        }
    }

    private fun repeatCancel(number: Int) {
        out += grants.cancelAgain(number)
    }

    private fun onTicked(nowMs: Long) {
        when (times.dueTimeout(state, answer.nextOffset, nowMs)) {
            FlowTimeout.ASK_CLAIM_AGAIN -> askClaim()
            FlowTimeout.ASK_GRANT_AGAIN -> (state as? FlowState.AwaitingGrant)?.let { askGrant(it.attempt, nowMs) }
            FlowTimeout.GRANT_TOO_LATE -> stop(FlowCode.DEADLINE_UNREACHABLE, "no upstream was free in time")
            FlowTimeout.FIRST_TOKEN_TOO_LATE -> stop(FlowCode.DEADLINE_UNREACHABLE, "the first token is too late")
            FlowTimeout.SILENT -> attempt()?.let { failAttempt(it, GrantEnding.SILENT, nowMs) }
            null -> return
        }
    }

    /** Ends the request in any state. If the answer is complete already, the request still ends as successful. */
    private fun stop(
        code: String,
        message: String,
    ) {
        val current = state
        if (current is FlowState.Finished) return
        if (current is FlowState.Recording) return finish(current.outcome)
        if (current is FlowState.AwaitingGrant) out += FlowOutput.WithdrawGrant(current.attempt)
        attempt()?.let { abandon(it, GrantEnding.CANCELLED) }
        giveUp(code, message)
    }

    /** Ends the request without its whole answer. The run state tells the caller whether it may have run. */
    private fun giveUp(
        code: String,
        message: String,
        retryAfterMs: Long = RETRY_AFTER_MS,
    ) {
        val runState = if (sentAttempts.isEmpty()) RunState.NOT_RUN else RunState.UNKNOWN
        val isLost = request.isNonRepeatable && runState == RunState.UNKNOWN
        finish(
            when {
                claim.isRunningElsewhere -> inProgressOutcome(retryAfterMs)
                isLost -> FlowOutcome(runState, FlowCode.OUTCOME_UNKNOWN, message, retryAfterMs)
                else -> FlowOutcome(runState, code, message, retryAfterMs)
            },
        )
    }

    private fun finish(outcome: FlowOutcome) {
        health.endUnusedProbes(request.id, null)
        state = FlowState.Finished(outcome)
        out += claim.settle(outcome)
        out += FlowOutput.Finish(outcome)
    }

    private fun attempt(): Attempt? =
        (state as? FlowState.Dispatched)?.attempt ?: (state as? FlowState.Streaming)?.attempt

    private fun current(number: Int) = attempt()?.takeIf { it.number == number }

    private companion object {
        const val FIRST_ATTEMPT = 1
        const val MAX_ATTEMPTS = 4
        const val RETRY_AFTER_MS = 1_000L

        /** Refusals that are temporary: a new coordinator gets elected, and a full queue drains. */
        val TRANSIENT_REASONS = setOf(RefusalReason.NOT_COORDINATOR, RefusalReason.QUEUE_FULL)
    }
}
