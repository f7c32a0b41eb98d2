package samphirechute.serving.relay

import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.core.time.Subscription
import samphirechute.net.Exchange
import samphirechute.net.HopHeaders
import samphirechute.net.ResponseHead
import samphirechute.net.ResponseStream
import samphirechute.routing.placing.Placement
import samphirechute.routing.placing.PlacementOutcome
import samphirechute.routing.placing.PlacementRequest
import samphirechute.routing.placing.PlacementResult
import samphirechute.routing.placing.TurnedAway
import samphirechute.serving.cluster.Repeatability
import samphirechute.serving.cluster.Route
import samphirechute.serving.cluster.Team
import kotlin.math.max
import kotlin.math.min

/**
 * One request from its arrival to its final answer. It runs at most once unless its route says that it may be repeated; a
 * stream that breaks off is carried on by another upstream within the same answer.
 */
internal class Relay(
    private val context: RelayContext,
    private val exchange: Exchange,
    private val caller: CallerRequest,
    private val accepted: Accepted,
    private val arrivedMs: Long,
    private val onEnd: () -> Unit,
) : EventSink {
    private val route = accepted.route
    private val requestId = checkNotNull(caller.id) { "a request without an identifier was accepted" }
    private val untilMs = arrivedMs + min(caller.deadlineMs ?: Long.MAX_VALUE / 4, route.timeoutMs)
    private val isRepeatable = route.repeatability == Repeatability.REPEATABLE
    private val excluded = LinkedHashSet<UpstreamId>()
    private val timeout: Subscription = context.timer.after(leftMs()) { timedOut() }
    private var attempt: Attempt? = null
    private var memory: MemoryHold? = null
    private var upstream: UpstreamId? = null
    private var stream: ResponseStream? = null
    private var lastEventId = caller.lastEventId
    private var lastEventMs: Long? = null
    private var longestPauseMs = 0L
    private var firstByteMs: Long? = null
    private var sends = 0
    private var mayHaveRun = false
    private var declined = 0

    /** The attempts that count against the route's limit. */
    private var runs = 0
    private var failedAnswer: AttemptResult.Answered? = null
    private var isDone = false

    fun start() {
        exchange.onAborted = ::callerLeft
        place()
    }

    override fun event(
        head: ResponseHead,
        event: StreamEvent,
    ): Boolean {
        val last = lastEventId
        if (event.id != null && last != null) {
            if (event.id <= last) return true
            if (event.id != last + 1) return false
        }
        if (event.id != null) lastEventId = event.id
        val open = stream ?: begin(head)
        notePause()
        open.write(event.bytes)
        attempt?.setReading(open.isWritable)
        return true
    }

    private fun notePause() {
        val nowMs = context.timer.nowMs()
        lastEventMs?.let { longestPauseMs = max(longestPauseMs, nowMs - it) }
        lastEventMs = nowMs
    }

    private fun begin(head: ResponseHead): ResponseStream {
        firstByteMs = elapsedMs()
        context.log.firstByte(route.name, elapsedMs())
        val started = exchange.startRelay(head.status, head.fields.filter(HopHeaders::passes), null)
        started.onWritable = { attempt?.setReading(true) }
        stream = started
        return started
    }

    private fun place() {
        val request =
            PlacementRequest(
                requestId,
                context.settings.instance,
                context.settings.failureDomain,
                accepted.service,
                accepted.team?.name,
                accepted.team?.priority ?: route.priority,
                caller.promptTokens,
                caller.answerTokens,
                route.targetMs,
                route.targetGapMs,
                leftMs(),
                excluded,
                context.timer.nowMs() - (lastEventMs ?: arrivedMs),
                hasBegun = stream != null,
            )
        context.places.place(request) { placement, by -> if (isDone) giveBack(placement) else placed(placement, by) }
    }

    private fun placed(
        placement: Placement,
        by: String,
    ) = when (placement) {
        is Placement.Granted -> dispatch(placement, by)
        is Placement.Refused -> refuse(placement)
    }

    private fun giveBack(placement: Placement) {
        if (placement !is Placement.Granted) return
        context.places.reportEnd(placeResult(placement.upstream, PlacementOutcome.CANCELLED, null))
    }

    private fun dispatch(
        granted: Placement.Granted,
        by: String,
    ) {
        if (!context.availability.isAvailable(granted.upstream)) return decline(granted, by)
        sends++
        upstream = granted.upstream
        context.log.event(
            "dispatched",
            mapOf(
                "request" to requestId,
                "route" to route.name,
                "revision" to accepted.revision,
                "upstream" to granted.upstream,
                "by" to by,
                "send" to sends,
                "after_ms" to elapsedMs(),
                "predicted_ms" to granted.firstByteMs,
                "helpers" to granted.helpers.map { it.upstream },
                "tokens" to caller.promptTokens,
                "resumes" to (stream != null),
            ),
        )
        val next =
            Attempt(
                context,
                exchange.request,
                requestId,
                this.takeIf { route.isStream },
                AttemptLimits.of(route, granted, leftMs(), isLast = !isRepeatable || runs + 1 >= route.maxAttempts),
                { mayReplace(granted.upstream) },
                ::attemptEnded,
            )
        attempt = next
        val hold = MemoryHold(context, requestId, sends, granted.helpers)
        memory = hold
        hold.acquire { isGranted -> if (attempt === next) send(next, granted, hold, isGranted) }
    }

    /** The coordinator does not know yet that the upstream leaves or has turned this instance away. */
    private fun decline(
        granted: Placement.Granted,
        by: String,
    ) {
        context.log.event(
            "place_declined",
            mapOf("request" to requestId, "upstream" to granted.upstream, "by" to by, "after_ms" to elapsedMs()),
        )
        context.places.reportEnd(placeResult(granted.upstream, PlacementOutcome.CANCELLED, null))
        excluded += granted.upstream
        if (++declined <= MAX_DECLINED) place() else giveUp("declined")
    }

    /** True when another upstream can carry on a stream that [current] has left silent. */
    private fun mayReplace(current: UpstreamId) =
        mayRunAgain() && leftMs() > MIN_LEFT_MS && context.budget.hasRemaining(context.timer.nowMs()) &&
            context.places.hasOther(accepted.service, excluded + current)

    private fun send(
        next: Attempt,
        granted: Placement.Granted,
        hold: MemoryHold,
        isGranted: Boolean,
    ) {
        if (!isGranted) {
            return attemptEnded(next, AttemptResult.NotRun("no_memory", isGone = false, isConnected = true))
        }
        val dispatch = Dispatch(granted.upstream, hold.helpers, leftMs(), accepted.team?.name, lastEventId)
        next.start(granted.address, dispatch, isOnce = !isRepeatable)
    }

    private fun attemptEnded(
        reportEnd: Attempt,
        result: AttemptResult,
    ) {
        if (isDone) return
        val target = checkNotNull(upstream) { "an attempt ended that was never sent" }
        val retryAfterMs = (result as? AttemptResult.NotRun)?.retryAfterMs
        retryAfterMs?.let { context.availability.turnedAway(target, it) }
        context.places.reportEnd(
            placeResult(target, result.outcome, reportEnd.firstByteMs).copy(
                leavingBornMs = reportEnd.leavingBornMs,
                turnedAway = retryAfterMs?.let { TurnedAway(context.settings.instance, it) },
            ),
        )
        context.log.attempt(result.label)
        attempt = null
        memory?.release()
        when (result) {
            is AttemptResult.Answered -> answered(target, result)
            is AttemptResult.StreamEnded -> streamEnded()
            is AttemptResult.NotRun -> notRun(target, result)
            is AttemptResult.Lost -> lost(target, result.label)
        }
    }

    private fun placeResult(
        target: UpstreamId,
        outcome: PlacementOutcome,
        firstByteMs: Long?,
    ) = PlacementResult(requestId, target, outcome, firstByteMs, context.settings.failureDomain)

    private fun answered(
        target: UpstreamId,
        result: AttemptResult.Answered,
    ) {
        mayHaveRun = true
        runs++
        val isFailure = result.head.status >= FIRST_FAILURE
        if (isFailure && stream != null) return lost(target, "failed_${result.head.status}")
        if (!isFailure) context.budget.recordSuccess(context.timer.nowMs())
        if (isFailure && isRepeatable && mayRunAgain()) {
            failedAnswer = result
            return retry(target, "failed_${result.head.status}")
        }
        respond(result)
    }

    private fun respond(result: AttemptResult.Answered) {
        val fields = result.head.fields.filter(HopHeaders::passes)
        val body = exchange.startRelay(result.head.status, fields, result.body.size.toLong())
        body.write(result.body)
        body.finish()
        context.log.firstByte(route.name, elapsedMs())
        finish(result.head.status, "answered")
    }

    private fun streamEnded() {
        context.budget.recordSuccess(context.timer.nowMs())
        stream?.finish()
        finish(OK, "answered")
    }

    private fun notRun(
        target: UpstreamId,
        result: AttemptResult.NotRun,
    ) {
        result.atFault?.takeIf { it != target }?.let {
            context.log.event("helper_failed", mapOf("request" to requestId, "upstream" to target, "helper" to it))
            context.places.reportEnd(placeResult(it, PlacementOutcome.UNREACHABLE, null))
            excluded += it
        }
        // What never reached an upstream adds nothing to its load, so it needs no share of the budget.
        retry(target, result.label, isFree = !result.isConnected)
    }

    private fun lost(
        target: UpstreamId,
        reason: String,
    ) {
        mayHaveRun = true
        runs++
        if (isRepeatable && mayRunAgain()) retry(target, reason) else giveUp(reason)
    }

    /** Sends the request once more, elsewhere, if time and the budget of retries allow it. */
    private fun retry(
        target: UpstreamId,
        reason: String,
        isFree: Boolean = false,
    ) {
        excluded += target
        val isAllowed = sends < route.maxAttempts + NOT_RUN_SENDS && mayRunAgain() && leftMs() > MIN_LEFT_MS
        if (!isAllowed || !(isFree || context.budget.tryAcquire(context.timer.nowMs()))) return giveUp(reason)
        context.log.event("retrying", mapOf("request" to requestId, "upstream" to target, "reason" to reason))
        place()
    }

    private fun mayRunAgain() = runs < route.maxAttempts

    private fun refuse(refused: Placement.Refused) = giveUp(refused.reason.name.lowercase(), refused.retryAfterMs)

    /** The final answer when no further attempt is made; true to whether an upstream may have run the request. */
    private fun giveUp(
        reason: String,
        retryAfterMs: Long = RETRY_AFTER_MS,
    ) {
        val open = stream
        val answer = failedAnswer
        when {
            open != null -> cut(open, reason)
            answer != null -> respond(answer)
            mayHaveRun -> answerWith(Refusal.Lost(reason))
            else -> answerWith(Refusal.Busy(reason, retryAfterMs))
        }
    }

    private fun cut(
        open: ResponseStream,
        reason: String,
    ) {
        open.abort()
        finish(CUT, reason)
    }

    private fun timedOut() {
        if (isDone) return
        val wasSent = attempt != null || mayHaveRun
        endAttempt(PlacementOutcome.CANCELLED)
        val open = stream
        when {
            open != null -> cut(open, "timed_out")
            wasSent -> answerWith(Refusal.TimedOut)
            else -> answerWith(Refusal.Busy("timed_out", RETRY_AFTER_MS))
        }
    }

    private fun callerLeft() {
        if (isDone) return
        endAttempt(PlacementOutcome.CANCELLED)
        finish(LEFT, "caller_left")
    }

    private fun endAttempt(outcome: PlacementOutcome) {
        val current = attempt
        attempt = null
        if (current == null) return context.places.withdraw(requestId)
        current.cancel()
        memory?.release()
        upstream?.let {
            val result = placeResult(it, outcome, current.firstByteMs)
            context.places.reportEnd(result.copy(leavingBornMs = current.leavingBornMs))
        }
    }

    private fun answerWith(refusal: Refusal) {
        exchange.answerWith(refusal)
        finish(refusal.status, refusal.code)
    }

    private fun finish(
        status: Int,
        reason: String,
    ) {
        if (isDone) return
        isDone = true
        timeout.cancel()
        context.log.finished(route.name, status, reason)
        context.log.event(
            "finished",
            mapOf(
                "request" to requestId,
                "route" to route.name,
                "status" to status,
                "reason" to reason,
                "sends" to sends,
                "upstream" to upstream,
                "ran" to mayHaveRun,
                "events" to lastEventId,
                "first_ms" to firstByteMs,
                "longest_pause_ms" to longestPauseMs,
                "ms" to elapsedMs(),
            ),
        )
        onEnd()
    }

    private fun elapsedMs() = context.timer.nowMs() - arrivedMs

    private fun leftMs() = max(1, untilMs - context.timer.nowMs())

    private companion object {
        const val OK = 200
        const val FIRST_FAILURE = 500

        /** In logs and metrics: the caller left, and a stream that was cut. */
        const val LEFT = 499
        const val CUT = 599
        const val MIN_LEFT_MS = 20L

        /** Places that are declined before the request is refused; word of each is on its way to the coordinator. */
        const val MAX_DECLINED = 8
        const val RETRY_AFTER_MS = 500L

        /** Sends beyond the route's limit when upstreams say that they have not run the request. */
        const val NOT_RUN_SENDS = 2
    }
}

/** What a request was found to be when it was accepted. */
internal class Accepted(
    val route: Route,
    val service: ServiceName,
    val team: Team?,
    val revision: Long,
)
