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

/**
 * Runs one request from its admission to its final answer. [RequestFlow] makes the decisions; this class executes its
 * outputs (claims, grants, attempts at upstreams, writing the answer) and feeds the results back as inputs.
 * Created by [CallerApi], for the requests of callers and for those of documents.
 */
internal class RequestRunner(
    private val dependencies: RequestDependencies,
    private val draft: RequestDraft,
    private val protocol: UpstreamProtocol,
    private val writer: AnswerWriter,
    private val claim: ClaimController.Claim?,
    private val continuesWithoutCaller: Boolean = draft.isNonRepeatable,
    private val onFinished: (FlowOutcome) -> Unit,
) {
    private val runtime = dependencies.runtime
    private val requestId = draft.requestId
    private val startedMs = runtime.nowMs
    private val deadlineMs = startedMs + draft.deadlineMs
    private val flow = RequestFlow(flowRequest(), dependencies.budget, dependencies.health)
    private val inputs = ArrayDeque<FlowInput>()
    private val recorder = AnswerRecorder(isKept = draft.isNonRepeatable)
    private var attempt: FlowAttemptListener? = null
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

    /** Reports that the caller has gone, or that the run of a document is stopped. */
    fun callerGone() {
        if (isFinished) return
        runtime.ring.record("caller_gone", requestId)
        feed(FlowInput.CallerGone)
    }

    /** Queues inputs that arise while outputs are executed, so that the flow handles inputs in order, one at a time. */
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
                requireClaim().submit(remainingMs()) { feed(FlowInput.ClaimAnswered(it)) }
            }

            FlowOutput.ReleaseClaim -> {
                requireClaim().release()
            }

            is FlowOutput.AskGrant -> {
                askGrant(output)
            }

            is FlowOutput.WithdrawGrant -> {
                dependencies.grants.withdraw(grantKey(output.attempt))
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
                dependencies.grants.release(output.grant, output.result)
            }

            is FlowOutput.RecordOutcome -> {
                requireClaim().record(recorder.toClaimResult(output.outcome)) { feed(FlowInput.OutcomeRecorded(it)) }
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
        dependencies.grants.requestGrant(request) { handleGrantReply(output.attempt, it) }
    }

    private fun handleGrantReply(
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
            FlowAttemptListener(output.grant, output.attempt, ::feed, ::handleHead) { event, eventFields ->
                runtime.ring.record(event, requestId, *eventFields)
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
            dependencies.metrics.firstToken(draft, runtime.nowMs - startedMs)
        }
        recorder.add(output.texts)
        dependencies.metrics.tokens(output.texts.size)
        writer.deliver(output.offset, output.texts)
        if (!writer.isWritable) setPaused(true)
    }

    private fun cancel(output: FlowOutput.CancelAttempt) {
        if (attempt?.number == output.attempt) attempt?.call?.cancel()
        protocol.cancel(output.grant, requestId, output.attempt)
        if (output.retireConnection) runtime.client.closeIdleConnections(output.grant.primary.address)
        runtime.ring.record("attempt_cancelled", requestId, "attempt" to output.attempt)
    }

    private fun finish(outcome: FlowOutcome) {
        isFinished = true
        timer?.cancel()
        val fields = arrayOf("run_state" to outcome.runState.wireName, "code" to (outcome.code ?: "ok"))
        runtime.ring.record("request_finished", requestId, *fields, "after_ms" to runtime.nowMs - startedMs)
        dependencies.metrics.finished(draft, outcome)
        writeAnswer(outcome)
        onFinished(outcome)
    }

    private fun writeAnswer(outcome: FlowOutcome) {
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

    /** Keeps a single timer for the due time; it is replaced only when the due time becomes earlier. */
    private fun schedule(dueMs: Long) {
        if (isFinished || (timer != null && timerDueMs <= dueMs)) return
        timer?.cancel()
        timerDueMs = dueMs
        timer = runtime.timer.after(maxOf(0, dueMs - runtime.nowMs), ::handleTimer)
    }

    private fun handleTimer() {
        timer = null
        if (isFinished) return
        // A slow caller pauses reading from the upstream, and an event loop that is late has not read what arrived. In
        // neither case is the upstream silent, so its timeouts wait. The deadline applies nevertheless.
        val isBehind = runtime.nowMs - timerDueMs > LOOP_LAG_MS
        val mayWait = runtime.nowMs < deadlineMs
        if (mayWait && isPaused) return schedule(runtime.nowMs + PAUSED_CHECK_MS)
        if (mayWait && isBehind) return schedule(runtime.nowMs + LOOP_LAG_MS)
        if (runtime.nowMs < flow.nextDueMs) schedule(flow.nextDueMs) else feed(FlowInput.Ticked)
    }

    private fun remainingMs() = maxOf(0, deadlineMs - runtime.nowMs)

    private fun grantKey(attempt: Int) = GrantKey(runtime.self, requestId, attempt)

    private fun requireClaim() = checkNotNull(claim) { "a repeatable request has no claim" }

    private fun flowRequest() =
        FlowRequest(
            id = requestId,
            deadlineMs = deadlineMs,
            isNonRepeatable = draft.isNonRepeatable,
            continuesWithoutCaller = continuesWithoutCaller,
            expectedTokens = minOf(draft.maxTokens, EXPECTED_TOKENS),
        )

    /** Passes on the head of an answer, unless it comes from an attempt that is no longer the current one. */
    private fun handleHead(
        from: FlowAttemptListener,
        status: Int,
        contentType: String,
        headers: Map<String, String>,
    ) {
        if (attempt !== from) return
        writer.head(status, contentType, headers)
        recorder.head(status, contentType)
    }

    private companion object {
        const val PAUSED_CHECK_MS = 1_000L

        /** A timer that is late by more than this shows that the loop is behind; it gets as long to catch up. */
        const val LOOP_LAG_MS = 50L

        /** Most answers end before the maximum that callers allow, so that maximum is no estimate of their length. */
        const val EXPECTED_TOKENS = 256L
    }
}
