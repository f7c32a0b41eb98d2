package samphirechute.serving.relay

import samphirechute.core.UpstreamId
import samphirechute.core.time.Subscription
import samphirechute.routing.placing.PlacementOutcome
import samphirechute.routing.placing.TurnedAway

/**
 * Relays one accepted request, from its arrival to its final answer. [RequestHandler] starts it.
 *
 * It gets a placement, sends the request in an [Attempt], and places it again if the attempt fails and another one is
 * allowed. A request runs at most once unless its route is repeatable. If a stream breaks off, another upstream
 * continues it within the same answer. Every placement that it receives is reported as ended, whether or not it was
 * used.
 */
internal class Relay(
    private val request: RelayedRequest,
    private val onEnd: (Relay) -> Unit,
) : DispatchListener {
    val route = request.route
    private val context = request.context
    private val stream: RelayedStream =
        RelayedStream(request, { rules.sends }, { isReading -> dispatcher.attempt?.setReading(isReading) })
    private val rules: RetryRules =
        RetryRules(route.maxAttempts, request.isRepeatable, { request.remainingMs }) { stream.canContinue }
    private val evidence = AttemptEvidence(request)
    private val dispatcher: Dispatcher = Dispatcher(request, rules, stream, evidence, this) { final.isDone }
    private val replacement = SilentReplacement(request, rules, stream, dispatcher)
    private val final: FinalResponse =
        FinalResponse(request, rules, stream, { dispatcher.upstream }, ::onFinish) { onEnd(this) }

    /** The upstream and the failure that the current retry follows. */
    private var lastRetry: Pair<UpstreamId, String>? = null
    private val timeout: Subscription = context.timer.after(request.remainingMs) { onTimeout() }

    /** How long the whole answer took, or null while there is none and after a rejection or failure. */
    val wholeAfterMs: Long? get() = final.wholeAfterMs

    /** Requests the first placement; everything else follows from callbacks. */
    fun start() {
        request.exchange.onAborted = ::onCallerLeft
        dispatcher.place()
    }

    override fun onRefused(
        reason: String,
        retryAfterMs: Long,
    ) = final.giveUp(reason, retryAfterMs)

    override fun onRetryRefused(by: String) {
        val (target, reason) = lastRetry ?: return
        denyRetry(target, reason, "budget", by)
    }

    override fun onSilent(silent: Attempt) = replacement.find(silent)

    /**
     * Handles the end of an attempt. The end is reported and reserved memory released before the result is handled,
     * since that may start the next attempt.
     */
    override fun onAttemptEnded(
        ended: Attempt,
        result: AttemptResult,
    ) {
        if (final.isDone) return
        val target = checkNotNull(dispatcher.upstream) { "an attempt ended that was never sent" }
        val retryAfterMs = (result as? AttemptResult.NotRun)?.retryAfterMs
        retryAfterMs?.let { context.availability.turnedAway(target, it) }
        context.placementClient.reportEnd(
            request.result(target, result.outcome, ended.firstByteMs).copy(
                leavingBornMs = ended.leavingBornMs,
                turnedAway = retryAfterMs?.let { TurnedAway(context.settings.instance, it) },
            ),
        )
        evidence.recordEnd(target, rules.sends, ended, result, dispatcher.isWatched)
        dispatcher.clearAttempt()
        when (result) {
            is AttemptResult.Answered -> onAnswered(target, result)
            is AttemptResult.StreamEnded -> onStreamEnded()
            is AttemptResult.NotRun -> onNotRun(target, result)
            is AttemptResult.NoMemory -> onNoMemory(result)
            is AttemptResult.Lost -> onLost(target, result.label)
        }
    }

    /** Handles a complete answer. One that arrives instead of the rest of a stream is no part of it, whatever its status. */
    private fun onAnswered(
        target: UpstreamId,
        result: AttemptResult.Answered,
    ) {
        if (stream.hasBegun) return onLost(target, "answered_${result.head.status}")
        rules.recordRun()
        val isFailure = result.head.status >= FIRST_FAILURE
        if (!isFailure) context.budget.recordSuccess(request.nowMs)
        if (isFailure && rules.mayRepeat()) {
            final.failedAnswer = result
            return retry(target, "failed_${result.head.status}")
        }
        final.respond(result)
    }

    private fun onStreamEnded() {
        context.budget.recordSuccess(request.nowMs)
        final.endStream()
    }

    private fun onNotRun(
        target: UpstreamId,
        result: AttemptResult.NotRun,
    ) {
        result.failedHelper?.takeIf { it != target }?.let {
            request.log("helper_failed", mapOf("upstream" to target, "helper" to it))
            request.reportEnd(it, PlacementOutcome.UNREACHABLE)
            dispatcher.exclude(it)
        }
        // A request that never reached an upstream added no load, so its retry is not charged to the budget.
        if (!result.isConnected) rules.recordUnsent()
        retry(target, result.label, isFree = !result.isConnected)
    }

    /** Places the request again without the helper that lacks the memory; nothing was sent to the upstream. */
    private fun onNoMemory(result: AttemptResult.NoMemory) {
        rules.recordUnsent()
        val helper = result.failure.upstream
        val outcome = if (result.failure.isReached) PlacementOutcome.REFUSED else PlacementOutcome.UNREACHABLE
        request.reportEnd(helper, outcome)
        retry(helper, result.label, isFree = true)
    }

    private fun onLost(
        target: UpstreamId,
        reason: String,
    ) {
        rules.recordRun()
        if (rules.mayRepeat()) retry(target, reason) else final.giveUp(reason)
    }

    /** Places the request again on another upstream if the limits, the time and the retry budget allow it. */
    private fun retry(
        target: UpstreamId,
        reason: String,
        isFree: Boolean = false,
    ) {
        dispatcher.exclude(target)
        if (!rules.mayRunAgain() || !rules.maySendAgain()) return denyRetry(target, reason, "attempts_or_time", "self")
        val paidBy =
            when {
                isFree -> "free"

                // It was charged to the budget before the silent attempt was ended for it.
                replacement.isGranted -> "replacement"

                context.budget.tryAcquire(request.nowMs, dispatcher.isCostly) -> "self"

                else -> "coordinator"
            }
        dispatcher.owesRetry = paidBy == "coordinator"
        lastRetry = target to reason
        request.log("retrying", mapOf("upstream" to target, "reason" to reason, "paid_by" to paidBy))
        val next = replacement.take()
        when {
            next != null -> dispatcher.startAttempt(next.granted, next.by)

            // The placement that was asked for while the upstream was silent is still to come.
            replacement.isPending -> Unit

            else -> dispatcher.place()
        }
    }

    private fun denyRetry(
        target: UpstreamId,
        reason: String,
        limit: String,
        by: String,
    ) {
        request.log("retry_denied", mapOf("upstream" to target, "reason" to reason, "limit" to limit, "by" to by))
        final.giveUp(reason)
    }

    /** Sends the final answer because the process ends; a stream that has begun is broken off. */
    fun endWithProcess(isLate: (Long) -> Boolean) {
        request.log(
            "cut_by_stop",
            mapOf(
                "route" to route.name,
                "upstream" to dispatcher.upstream,
                "age_ms" to request.elapsedMs,
                "events" to stream.lastEventId,
                "begun" to stream.hasBegun,
                "came_late" to isLate(request.arrivedMs),
            ),
        )
        endEarly("stopped", Refusal.Stopping)
    }

    private fun onTimeout() = endEarly("timed_out", Refusal.TimedOutUnsent)

    private fun endEarly(
        reason: String,
        refusal: Refusal,
    ) {
        if (final.isDone) return
        if (dispatcher.attempt != null) rules.recordRun()
        dispatcher.cancel()
        final.endEarly(reason, refusal)
    }

    private fun onCallerLeft() {
        if (final.isDone) return
        dispatcher.cancel()
        final.endWithoutCaller()
    }

    private fun onFinish() {
        timeout.cancel()
        replacement.end()
    }

    companion object {
        const val FIRST_FAILURE = 500
    }
}
