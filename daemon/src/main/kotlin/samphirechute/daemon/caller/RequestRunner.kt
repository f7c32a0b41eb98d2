package samphirechute.daemon.caller

import samphirechute.core.RunState
import samphirechute.core.time.Subscription
import samphirechute.daemon.controller.ClaimController
import samphirechute.daemon.peer.GrantReply
import samphirechute.daemon.upstream.UpstreamProtocol
import samphirechute.daemon.upstream.UpstreamWork
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantRequest
import samphirechute.routing.RefusalReason
import samphirechute.routing.flow.FlowInput
import samphirechute.routing.flow.FlowOutcome
import samphirechute.routing.flow.FlowOutput
import samphirechute.routing.flow.FlowRequest
import samphirechute.routing.flow.RequestFlow

/** Carries out what the flow of one request decides: claims, grants, attempts at upstreams, and the answer. */
internal class RequestRunner(
    private val parts: RequestParts,
    private val draft: RequestDraft,
    private val protocol: UpstreamProtocol,
    private val writer: AnswerWriter,
    private val claim: ClaimController.Claim?,
    private val continuesWithoutCaller: Boolean = draft.isNonRepeatable,
    private val onFinished: (FlowOutcome) -> Unit,
) {
    private val runtime = parts.runtime
    private val requestId = draft.requestId
    private val startedMs = runtime.nowMs
    private val deadlineMs = startedMs + draft.deadlineMs
    private val flow = RequestFlow(flowRequest(), parts.budget, parts.health)
    private val inputs = ArrayDeque<FlowInput>()
    private val record = AnswerRecord(isKept = draft.isNonRepeatable)
    private var attempt: AttemptFeed? = null
    private var timer: Subscription? = null
    private var timerDueMs = Long.MAX_VALUE
    private var isHandling = false
    private var isFinished = false
    private var isPaused = false
    private var firstTokenMs: Long? = null

    fun start() {
        val fields = arrayOf("service" to draft.service.name, "prompt_tokens" to draft.promptTokens)
        runtime.ring.record("request_accepted", requestId, *fields, "deadline_ms" to draft.deadlineMs)
        writer.onWritable = ::resume
        feed(FlowInput.Started)
    }

    /** Ends the request as if its caller had gone. */
    fun callerGone() {
        if (isFinished) return
        runtime.ring.record("caller_gone", requestId)
        feed(FlowInput.CallerGone)
    }

    /** Inputs that arise while outputs are carried out wait, so that the flow sees one at a time and in order. */
    private fun feed(input: FlowInput) {
        inputs += input
        if (isHandling) return
        isHandling = true
        try {
            while (true) {
                val next = inputs.removeFirstOrNull() ?: break
                flow.handle(next, runtime.nowMs).forEach(::execute)
            }
        } finally {
            isHandling = false
        }
        schedule(flow.nextDueMs)
    }

    private fun execute(output: FlowOutput) {
        when (output) {
            FlowOutput.AskClaim -> {
                claim().submit(remainingMs()) { feed(FlowInput.ClaimAnswered(it)) }
            }

            FlowOutput.ReleaseClaim -> {
                claim().release()
            }

            is FlowOutput.AskGrant -> {
                askGrant(output)
            }

            is FlowOutput.WithdrawGrant -> {
                parts.grants.withdraw(key(output.attempt))
            }

            is FlowOutput.Dispatch -> {
                dispatch(output)
            }

            is FlowOutput.Deliver -> {
                deliver(output)
            }

            is FlowOutput.CancelAttempt -> {
                cancel(output)
            }

            is FlowOutput.ReleaseGrant -> {
                parts.grants.release(output.grant, output.result)
            }

            is FlowOutput.RecordOutcome -> {
                claim().record(record.toClaimResult(output.outcome)) { feed(FlowInput.OutcomeRecorded(it)) }
            }

            is FlowOutput.Finish -> {
                finish(output.outcome)
            }

            is FlowOutput.RecordEvent -> {
                runtime.ring.record(output.event, requestId, *output.fields.toList().toTypedArray())
            }
        }
    }

    private fun askGrant(output: FlowOutput.AskGrant) {
        val spec = draft.service
        val firstTokenRemainingMs = maxOf(0, startedMs + spec.firstTokenMs - runtime.nowMs)
        val request =
            GrantRequest(
                requestId = requestId,
                attempt = output.attempt,
                instance = runtime.self,
                service = spec.name,
                team = spec.team,
                share = spec.share,
                urgency = spec.urgency,
                pool = spec.target.pool,
                promptTokens = draft.promptTokens,
                maxTokens = draft.maxTokens,
                prefixes = draft.prefixes,
                firstTokenRemainingMs = minOf(firstTokenRemainingMs, remainingMs()),
                remainingMs = remainingMs(),
                excluded = output.excluded,
            )
        parts.grants.requestGrant(request) { granted(output.attempt, it) }
    }

    private fun granted(
        attempt: Int,
        reply: GrantReply,
    ) {
        val grant = reply.grant
        if (grant == null) {
            val reason = reply.reason ?: RefusalReason.NO_UPSTREAM
            runtime.ring.record("grant_refused", requestId, "attempt" to attempt, "reason" to reason)
            return feed(FlowInput.GrantRefused(attempt, reason, reply.retryAfterMs))
        }
        feed(FlowInput.Granted(grant))
    }

    private fun dispatch(output: FlowOutput.Dispatch) {
        val upstreams = output.grant.parts.joinToString(",") { it.upstream.value }
        val fields = arrayOf("attempt" to output.attempt, "upstream" to upstreams, "offset" to output.resumeOffset)
        runtime.ring.record("dispatched", requestId, *fields, "queued_ms" to runtime.nowMs - startedMs)
        val running =
            AttemptFeed(output.grant, output.attempt, ::feed, ::headArrived) { event, noted ->
                runtime.ring.record(event, requestId, *noted)
            }
        attempt = running
        val work =
            UpstreamWork(
                output.grant,
                requestId,
                output.attempt,
                output.resumeOffset,
                remainingMs(),
                output.useFreshConnection,
            )
        running.call = protocol.start(work, running)
        if (isPaused) running.call?.setReading(false)
    }

    private fun deliver(output: FlowOutput.Deliver) {
        if (firstTokenMs == null) {
            firstTokenMs = runtime.nowMs - startedMs
            runtime.ring.record("first_token", requestId, "after_ms" to firstTokenMs)
            parts.metrics.firstToken(draft, runtime.nowMs - startedMs)
        }
        record.add(output.texts)
        parts.metrics.tokens(output.texts.size)
        writer.deliver(output.offset, output.texts)
        if (!writer.isWritable) setPaused(true)
    }

    private fun cancel(output: FlowOutput.CancelAttempt) {
        if (attempt?.number == output.attempt) attempt?.call?.cancel()
        protocol.cancel(output.grant, requestId, output.attempt)
        if (output.retireConnection) runtime.client.retire(output.grant.primary.address)
        runtime.ring.record("attempt_cancelled", requestId, "attempt" to output.attempt)
    }

    private fun finish(outcome: FlowOutcome) {
        isFinished = true
        timer?.cancel()
        val fields = arrayOf("run_state" to outcome.runState.wireName, "code" to (outcome.code ?: "ok"))
        runtime.ring.record("request_finished", requestId, *fields, "after_ms" to runtime.nowMs - startedMs)
        parts.metrics.finished(draft, outcome)
        answer(outcome)
        onFinished(outcome)
    }

    private fun answer(outcome: FlowOutcome) {
        val stored = outcome.stored
        if (stored != null) {
            writer.head(stored.status, stored.contentType)
            writer.deliver(0, listOf(stored.body))
        }
        val isWhole = outcome.code == null && outcome.runState == RunState.RAN
        if (isWhole) writer.complete() else writer.fail(outcome.toRequestError())
    }

    private fun setPaused(isPaused: Boolean) {
        this.isPaused = isPaused
        attempt?.call?.setReading(!isPaused)
    }

    private fun resume() {
        if (!isPaused || isFinished) return
        setPaused(false)
        feed(FlowInput.ReadingResumed)
    }

    /** One timer follows the due time; it is only moved when the due time comes nearer. */
    private fun schedule(dueMs: Long) {
        if (isFinished || (timer != null && timerDueMs <= dueMs)) return
        timer?.cancel()
        timerDueMs = dueMs
        timer = runtime.timer.after(maxOf(0, dueMs - runtime.nowMs), ::due)
    }

    private fun due() {
        timer = null
        if (isFinished) return
        // A caller that reads slowly stops the upstream's stream, and a loop that is behind has not read what arrived.
        // Neither is a silence of the upstream; the deadline holds all the same.
        val isBehind = runtime.nowMs - timerDueMs > LOOP_LAG_MS
        val mayWait = runtime.nowMs < deadlineMs
        if (mayWait && isPaused) return schedule(runtime.nowMs + PAUSED_CHECK_MS)
        if (mayWait && isBehind) return schedule(runtime.nowMs + LOOP_LAG_MS)
        if (runtime.nowMs < flow.nextDueMs) schedule(flow.nextDueMs) else feed(FlowInput.Ticked)
    }

    private fun remainingMs() = maxOf(0, deadlineMs - runtime.nowMs)

    private fun key(attempt: Int) = GrantKey(runtime.self, requestId, attempt)

    private fun claim() = checkNotNull(claim) { "a repeatable request has no claim" }

    private fun flowRequest() =
        FlowRequest(
            id = requestId,
            deadlineMs = deadlineMs,
            isNonRepeatable = draft.isNonRepeatable,
            continuesWithoutCaller = continuesWithoutCaller,
            expectedTokens = minOf(draft.maxTokens, EXPECTED_TOKENS),
        )

    /** The head of an answer counts only from the attempt that is under way. */
    private fun headArrived(
        from: AttemptFeed,
        status: Int,
        contentType: String,
        headers: Map<String, String>,
    ) {
        if (attempt !== from) return
        writer.head(status, contentType, headers)
        record.head(status, contentType)
    }

    private companion object {
        const val PAUSED_CHECK_MS = 1_000L

        /** A timer that fires this late shows that the loop has work waiting; it gets as long to do it. */
        const val LOOP_LAG_MS = 50L

        /** Most answers end before the maximum that their callers allow, so that is no estimate of their time. */
        const val EXPECTED_TOKENS = 256L
    }
}
