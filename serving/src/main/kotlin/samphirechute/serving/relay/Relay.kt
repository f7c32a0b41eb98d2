package samphirechute.serving.relay

import samphirechute.core.HostPort
import samphirechute.core.RequestTrait
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
import samphirechute.routing.quarantine.Quarantine
import samphirechute.routing.quarantine.RunEvidence
import samphirechute.routing.quarantine.RunOutcome
import samphirechute.serving.cluster.Repeatability
import samphirechute.serving.cluster.Route
import samphirechute.serving.cluster.Team
import kotlin.math.max
import kotlin.math.min

/**
 * Relays one accepted request, from its arrival to its final answer. [RequestHandler] starts it.
 *
 * It gets a placement, sends the request in an [Attempt], and places it again if the attempt fails and another one is
 * allowed. A request runs at most once unless its route is repeatable. If a stream breaks off, another upstream
 * continues it within the same answer. Every placement that it receives is reported as ended, whether or not it was
 * used.
 */
internal class Relay(
    private val context: RelayContext,
    private val exchange: Exchange,
    private val caller: CallerRequest,
    private val accepted: AcceptedRequest,
    private val arrivedMs: Long,
    private val onEnd: (Relay) -> Unit,
) : EventSink {
    val route = accepted.route

    /** How long the whole answer took, or null while there is none and after a rejection or failure. */
    var wholeAfterMs: Long? = null
        private set
    private val requestId = checkNotNull(caller.id) { "a request without an identifier was accepted" }
    private val untilMs = arrivedMs + min(caller.deadlineMs ?: Long.MAX_VALUE / 4, route.timeoutMs)
    private val isRepeatable = route.repeatability == Repeatability.REPEATABLE
    private val excluded = LinkedHashSet<UpstreamId>()

    /** The addresses of the sendings; a restarted upstream has the address under another identifier. */
    private val addresses = HashSet<HostPort>()
    private val timeout: Subscription = context.timer.after(remainingMs()) { onTimeout() }
    private var attempt: Attempt? = null
    private var memory: MemoryHold? = null
    private var upstream: UpstreamId? = null
    private var stream: ResponseStream? = null

    /** The value of [sends] when the stream was started; with another one, it is being continued. */
    private var streamSend = 0

    /** False once an event without an identifier was written, after which no upstream can be told where to continue. */
    private var canContinue = true
    private var lastEventId = caller.lastEventId
    private var lastEventMs: Long? = null
    private var longestPauseMs = 0L
    private var firstByteMs: Long? = null
    private var sends = 0

    /** The sends that never reached an upstream; they do not count as sends, but have their own limit. */
    private var unsent = 0

    /** True if the coordinator has to know when the answer to the current attempt gets beyond its beginning. */
    private var isWatched = false

    /** True once an upstream may have run the request; the final answer then must not say otherwise. */
    private var mayHaveRun = false

    /** Placements that were not used, see [decline]. */
    private var declined = 0

    /** Attempts in which the request may have run; they count against the limit of the route. */
    private var runs = 0

    /** The error that an upstream answered before a retry. It becomes the final answer if no later attempt succeeds. */
    private var failedAnswer: AttemptResult.Answered? = null
    private var isDone = false

    /** True while another upstream is looked for because the current one is silent. */
    private var isReplacing = false

    /** The upstream that takes the request over from a silent one, until it is used. */
    private var replacement: Replacement? = null

    /** Requests the first placement; everything else follows from callbacks. */
    fun start() {
        exchange.onAborted = ::onCallerLeft
        place()
    }

    /**
     * Writes an event to the caller. Events that the caller already has are skipped, since an upstream that continues a
     * stream may repeat them. A missing one makes the attempt fail, and so does one without an identifier when a stream is
     * continued, since it may be no part of the stream.
     */
    override fun onEvent(
        head: ResponseHead,
        event: StreamEvent,
    ): Boolean {
        val last = lastEventId
        if (event.id != null && last != null) {
            if (event.id <= last) return true
            if (event.id != last + 1) return false
        }
        if (event.id == null && !event.isComment) {
            if (stream != null && sends != streamSend) return false
            canContinue = false
        }
        if (event.id != null) lastEventId = event.id
        val open = stream ?: startStream(head)
        recordPause()
        open.write(event.bytes)
        attempt?.setReading(open.isWritable)
        return true
    }

    private fun recordPause() {
        val nowMs = context.timer.nowMs()
        lastEventMs?.let { longestPauseMs = max(longestPauseMs, nowMs - it) }
        lastEventMs = nowMs
    }

    private fun startStream(head: ResponseHead): ResponseStream {
        firstByteMs = elapsedMs()
        context.log.recordFirstByte(route.name, elapsedMs())
        val started = exchange.startRelay(head.status, head.fields.filter(HopHeaders::isEndToEnd), null)
        started.onWritable = { attempt?.setReading(true) }
        stream = started
        streamSend = sends
        return started
    }

    private fun place() = place(excluded, ::onPlacement)

    private fun place(
        excluded: Set<UpstreamId>,
        onPlaced: (Placement, String) -> Unit,
    ) {
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
                remainingMs(),
                excluded,
                context.timer.nowMs() - (lastEventMs ?: arrivedMs),
                hasBegun = stream != null,
                traits = accepted.traits,
            )
        context.placementClient.place(request) { placement, by ->
            if (isDone) releasePlacement(placement) else onPlaced(placement, by)
        }
    }

    private fun onPlacement(
        placement: Placement,
        by: String,
    ) = when (placement) {
        is Placement.Granted -> dispatch(placement, by)
        is Placement.Refused -> refuse(placement)
    }

    /** Returns a placement that arrived after the request was finished. */
    private fun releasePlacement(placement: Placement) {
        if (placement !is Placement.Granted) return
        context.placementClient.reportEnd(placementResult(placement.upstream, PlacementOutcome.CANCELLED, null))
    }

    /**
     * Sends the request to the granted upstream. The attempt is created first, so that the request can be cancelled
     * while the memory of the helpers is reserved, and it is sent only if all of them granted their part.
     */
    private fun dispatch(
        granted: Placement.Granted,
        by: String,
    ) {
        if (!context.availability.isAvailable(granted.upstream)) return decline(granted, by, "unavailable")
        if (!context.limits.admits(granted)) return decline(granted, by, "limit")
        val quarantine = context.quarantine.find(accepted.traits).takeUnless { granted.isProbe }
        if (quarantine != null) return refuseQuarantined(granted, by, quarantine)
        startAttempt(granted, by)
    }

    private fun startAttempt(
        granted: Placement.Granted,
        by: String,
    ) {
        isWatched = granted.isWatched
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
                "limits_per_s" to granted.limitsPerS,
                "tokens" to caller.promptTokens,
                "parts" to caller.sharedParts.take(MAX_LOGGED_PARTS),
                "whole" to accepted.wholeRequest,
                "resumes" to (stream != null),
                "watched" to granted.isWatched,
                "probe" to granted.isProbe,
            ),
        )
        val next =
            Attempt(
                context,
                exchange.request,
                requestId,
                this.takeIf { route.isStream },
                AttemptTimeouts.of(
                    route,
                    granted,
                    remainingMs(),
                    isLast = !isRepeatable || runs + 1 >= route.maxAttempts,
                ),
                ::onSilent,
                { observeRun(granted.upstream, it, RunOutcome.SOUND) },
                ::onAttemptEnded,
            )
        attempt = next
        val hold = MemoryHold(context, requestId, sends, granted.helpers)
        memory = hold
        hold.acquire { failure -> if (attempt === next) send(next, granted, hold, failure) }
    }

    /** Rejects a placement of a prompt that is in quarantine here, which the coordinator did not know when it granted it. */
    private fun refuseQuarantined(
        granted: Placement.Granted,
        by: String,
        quarantine: Quarantine,
    ) {
        context.placementClient.reportEnd(placementResult(granted.upstream, PlacementOutcome.CANCELLED, null))
        val retryAfterMs = context.quarantine.refuse(quarantine)
        context.log.event(
            "place_declined",
            mapOf(
                "request" to requestId,
                "upstream" to granted.upstream,
                "by" to by,
                "reason" to "quarantined",
                "parts" to quarantine.traits.take(MAX_LOGGED_PARTS),
                "whole" to accepted.wholeRequest,
                "decided_by" to quarantine.decidedBy,
                "decided_age_ms" to context.timer.nowMs() - quarantine.decidedMs,
                "after_ms" to elapsedMs(),
            ),
        )
        giveUp("quarantined", retryAfterMs)
    }

    /**
     * Rejects a placement on an upstream that is leaving, has turned this instance away or takes no more requests for
     * now, which the coordinator does not know yet, and asks for another one.
     */
    private fun decline(
        granted: Placement.Granted,
        by: String,
        reason: String,
    ) {
        context.log.event(
            "place_declined",
            mapOf(
                "request" to requestId,
                "upstream" to granted.upstream,
                "by" to by,
                "reason" to reason,
                "after_ms" to elapsedMs(),
            ),
        )
        context.placementClient.reportEnd(placementResult(granted.upstream, PlacementOutcome.CANCELLED, null))
        excluded += granted.upstream
        if (++declined <= MAX_DECLINED) place() else giveUp("declined")
    }

    /**
     * Asks for another upstream while the current attempt goes on. The attempt ends only once another upstream takes the
     * request, since a silent upstream may still answer.
     */
    private fun onSilent(silent: Attempt) {
        val current = upstream ?: return
        if (isReplacing || !canBeReplaced(current)) return
        isReplacing = true
        val progress = silent.progress
        place(excluded + current) { placement, by ->
            isReplacing = false
            when {
                // The attempt has ended meanwhile, and the request waits for this placement.
                attempt !== silent -> {
                    onPlacement(placement, by)
                }

                placement !is Placement.Granted || silent.progress != progress -> {
                    keep(current, placement, by)
                }

                isUsable(placement) -> {
                    replacement = Replacement(placement, by)
                    silent.endAsSilent()
                }

                else -> {
                    excluded += placement.upstream
                    keep(current, placement, by)
                }
            }
        }
    }

    /** Returns whether another upstream can take the request over from [current], which sends nothing. */
    private fun canBeReplaced(current: UpstreamId) =
        isRepeatable && canContinue && runs + 1 < route.maxAttempts && maySendAgain() &&
            context.budget.hasRemaining(context.timer.nowMs()) &&
            context.placementClient.hasAlternative(accepted.service, excluded + current)

    /** Makes the checks of [dispatch] and [retry]. Those that count against a limit or the budget come last. */
    private fun isUsable(granted: Placement.Granted) =
        maySendAgain() && context.availability.isAvailable(granted.upstream) &&
            (granted.isProbe || context.quarantine.find(accepted.traits) == null) &&
            context.limits.admits(granted) && context.budget.tryAcquire(context.timer.nowMs())

    /** Goes on waiting for [current], since no other upstream takes the request or an answer has come meanwhile. */
    private fun keep(
        current: UpstreamId,
        placement: Placement,
        by: String,
    ) {
        releasePlacement(placement)
        context.log.event(
            "silent_kept",
            mapOf(
                "request" to requestId,
                "upstream" to current,
                "by" to by,
                "refused" to (placement as? Placement.Refused)?.reason?.name?.lowercase(),
                "events" to lastEventId,
                "after_ms" to elapsedMs(),
            ),
        )
    }

    private fun send(
        next: Attempt,
        granted: Placement.Granted,
        hold: MemoryHold,
        failure: ReservationFailure?,
    ) {
        if (failure != null) return onAttemptEnded(next, AttemptResult.NoMemory(failure))
        val dispatch = Dispatch(granted.upstream, hold.helpers, remainingMs(), accepted.team?.name, lastEventId)
        next.start(granted.address, dispatch, mustRunOnce = !isRepeatable, needsNewConnection(granted.address))
    }

    /**
     * Returns whether a sending must not take a used connection. On that of an earlier sending, a late copy of its answer has
     * the same identifier as the answer to this one. On any other, part of a copy of an older answer may end the second
     * sending of a repeatable request, after which there is no other. A request that must run once is sent again only
     * after a refusal, where an upstream at its limit of connections would reset a new one.
     */
    private fun needsNewConnection(address: HostPort): Boolean {
        val isSecond = addresses.isNotEmpty()
        return !addresses.add(address) || (isRepeatable && isSecond)
    }

    /**
     * Handles the end of an attempt. The end is reported and reserved memory released before the result is handled,
     * since that may start the next attempt.
     */
    private fun onAttemptEnded(
        endedAttempt: Attempt,
        result: AttemptResult,
    ) {
        if (isDone) return
        val target = checkNotNull(upstream) { "an attempt ended that was never sent" }
        val retryAfterMs = (result as? AttemptResult.NotRun)?.retryAfterMs
        retryAfterMs?.let { context.availability.turnedAway(target, it) }
        context.placementClient.reportEnd(
            placementResult(target, result.outcome, endedAttempt.firstByteMs).copy(
                leavingBornMs = endedAttempt.leavingBornMs,
                turnedAway = retryAfterMs?.let { TurnedAway(context.settings.instance, it) },
            ),
        )
        context.log.recordAttempt(result.label)
        logEnd(target, endedAttempt, result)
        observeEnd(target, endedAttempt, result)
        attempt = null
        memory?.release()
        when (result) {
            is AttemptResult.Answered -> onAnswered(target, result)
            is AttemptResult.StreamEnded -> onStreamEnded()
            is AttemptResult.NotRun -> onNotRun(target, result)
            is AttemptResult.NoMemory -> onNoMemory(result)
            is AttemptResult.Lost -> onLost(target, result.label)
        }
    }

    /** Names the prompt of a lost attempt, since requests that end with an engine may have a part of it in common. */
    private fun logEnd(
        target: UpstreamId,
        ended: Attempt,
        result: AttemptResult,
    ) = context.log.event(
        "attempt_ended",
        mapOf(
            "request" to requestId,
            "route" to route.name,
            "upstream" to target,
            "send" to sends,
            "outcome" to result.label,
            "detail" to (result as? AttemptResult.Lost)?.detail,
            "head" to ended.status,
            "events" to ended.events,
            "sent_age_ms" to context.timer.nowMs() - ended.sentMs,
            "connection" to ended.connection?.number,
            "calls_before" to ended.connection?.callsBefore,
            "skipped_answers" to ended.connection?.skippedAnswers,
            "skipped_bytes" to ended.connection?.skippedBytes,
            "ms" to elapsedMs(),
        ) + partsField(result is AttemptResult.Lost),
    )

    /** Reports a run that ended with its upstream at the beginning of the answer, and a short answer that is complete. */
    private fun observeEnd(
        target: UpstreamId,
        ended: Attempt,
        result: AttemptResult,
    ) {
        ended.headLeadMs?.let { context.heads.record(accepted.service, it) }
        if (ended.isBeyondBeginning) return
        val outcome =
            when (result) {
                is AttemptResult.Lost -> lossOf(ended).takeIf { result.isBrokenOff }
                is AttemptResult.Answered -> RunOutcome.SOUND.takeIf { result.head.status < FIRST_FAILURE }
                is AttemptResult.StreamEnded -> RunOutcome.SOUND
                is AttemptResult.NotRun, is AttemptResult.NoMemory -> null
            }
        outcome?.let { observeRun(target, ended, it) }
    }

    /** An answer in one piece shows nothing before its end, and a stream only if its head comes before the first event. */
    private fun lossOf(ended: Attempt): RunOutcome {
        val showsBegin = route.isStream && context.heads.areEarly(accepted.service)
        return if (showsBegin && ended.status == null) RunOutcome.LOST_WAITING else RunOutcome.LOST_BEGUN
    }

    private fun observeRun(
        target: UpstreamId,
        run: Attempt,
        outcome: RunOutcome,
    ) {
        val traits = accepted.traits
        if (outcome == RunOutcome.SOUND && !isWatched && !context.quarantine.isInQuestion(traits)) return
        val nowMs = context.timer.nowMs()
        val instance = context.settings.instance
        context.quarantine.observe(RunEvidence(requestId, instance, target, traits, run.sentMs, nowMs, outcome))
    }

    private fun partsField(isNamed: Boolean) =
        if (isNamed) {
            mapOf("parts" to caller.sharedParts.take(MAX_LOGGED_PARTS), "whole" to accepted.wholeRequest)
        } else {
            emptyMap()
        }

    private fun placementResult(
        target: UpstreamId,
        outcome: PlacementOutcome,
        firstByteMs: Long?,
    ) = PlacementResult(requestId, target, outcome, firstByteMs, context.settings.failureDomain)

    /** Handles a complete answer. One that arrives instead of the rest of a stream is no part of it, whatever its status. */
    private fun onAnswered(
        target: UpstreamId,
        result: AttemptResult.Answered,
    ) {
        if (stream != null) return onLost(target, "answered_${result.head.status}")
        mayHaveRun = true
        runs++
        val isFailure = result.head.status >= FIRST_FAILURE
        if (!isFailure) context.budget.recordSuccess(context.timer.nowMs())
        if (isFailure && isRepeatable && mayRunAgain()) {
            failedAnswer = result
            return retry(target, "failed_${result.head.status}")
        }
        respond(result)
    }

    private fun respond(result: AttemptResult.Answered) {
        val fields = result.head.fields.filter(HopHeaders::isEndToEnd)
        val body = exchange.startRelay(result.head.status, fields, result.body.size.toLong())
        body.write(result.body)
        body.finish()
        context.log.recordFirstByte(route.name, elapsedMs())
        if (result.head.status < FIRST_REJECTION) wholeAfterMs = elapsedMs()
        finish(result.head.status, "answered")
    }

    private fun onStreamEnded() {
        context.budget.recordSuccess(context.timer.nowMs())
        stream?.finish()
        wholeAfterMs = elapsedMs()
        finish(OK, "answered")
    }

    private fun onNotRun(
        target: UpstreamId,
        result: AttemptResult.NotRun,
    ) {
        result.failedHelper?.takeIf { it != target }?.let {
            context.log.event("helper_failed", mapOf("request" to requestId, "upstream" to target, "helper" to it))
            context.placementClient.reportEnd(placementResult(it, PlacementOutcome.UNREACHABLE, null))
            excluded += it
        }
        // A request that never reached an upstream added no load, so its retry is not charged to the budget.
        if (!result.isConnected) unsent++
        retry(target, result.label, isFree = !result.isConnected)
    }

    /** Places the request again without the helper that lacks the memory; nothing was sent to the upstream. */
    private fun onNoMemory(result: AttemptResult.NoMemory) {
        unsent++
        val helper = result.failure.upstream
        val outcome = if (result.failure.isReached) PlacementOutcome.REFUSED else PlacementOutcome.UNREACHABLE
        context.placementClient.reportEnd(placementResult(helper, outcome, null))
        retry(helper, result.label, isFree = true)
    }

    private fun onLost(
        target: UpstreamId,
        reason: String,
    ) {
        mayHaveRun = true
        runs++
        if (isRepeatable && mayRunAgain()) retry(target, reason) else giveUp(reason)
    }

    /** Places the request again on another upstream if the limits, the time and the retry budget allow it. */
    private fun retry(
        target: UpstreamId,
        reason: String,
        isFree: Boolean = false,
    ) {
        excluded += target
        val next = replacement
        val isAllowed = mayRunAgain() && maySendAgain()
        // A replacement was charged to the budget before the silent attempt was ended for it.
        if (!isAllowed || !(isFree || next != null || context.budget.tryAcquire(context.timer.nowMs()))) {
            val limit = if (isAllowed) "budget" else "attempts_or_time"
            val fields = mapOf("request" to requestId, "upstream" to target, "reason" to reason, "limit" to limit)
            context.log.event("retry_denied", fields)
            return giveUp(reason)
        }
        context.log.event("retrying", mapOf("request" to requestId, "upstream" to target, "reason" to reason))
        replacement = null
        when {
            next != null -> startAttempt(next.granted, next.by)

            // The placement that was asked for while the upstream was silent is still to come.
            isReplacing -> Unit

            else -> place()
        }
    }

    private fun maySendAgain() =
        sends - unsent < route.maxAttempts + EXTRA_SENDS_IF_NOT_RUN && unsent <= MAX_UNSENT &&
            remainingMs() > MIN_REMAINING_MS

    private fun mayRunAgain() = runs < route.maxAttempts && canContinue

    private fun refuse(refused: Placement.Refused) = giveUp(refused.reason.name.lowercase(), refused.retryAfterMs)

    /**
     * Sends the final answer when no further attempt is made. It tells the caller whether the request may have run.
     */
    private fun giveUp(
        reason: String,
        retryAfterMs: Long = RETRY_AFTER_MS,
    ) {
        val open = stream
        val answer = failedAnswer
        when {
            open != null -> abortStream(open, reason)
            answer != null -> respond(answer)
            mayHaveRun -> answerWith(Refusal.Lost(reason))
            else -> answerWith(Refusal.Busy(reason, retryAfterMs))
        }
    }

    private fun abortStream(
        open: ResponseStream,
        reason: String,
    ) {
        open.abort()
        finish(STREAM_ABORTED, reason)
    }

    /** Sends the final answer because the process ends; a stream that has begun is broken off. */
    fun endWithProcess(isLate: (Long) -> Boolean) {
        context.log.event(
            "cut_by_stop",
            mapOf(
                "request" to requestId,
                "route" to route.name,
                "upstream" to upstream,
                "age_ms" to elapsedMs(),
                "events" to lastEventId,
                "begun" to (stream != null),
                "came_late" to isLate(arrivedMs),
            ),
        )
        endEarly("stopped", Refusal.Lost("stopped"), Refusal.Stopping)
    }

    private fun onTimeout() = endEarly("timed_out", Refusal.TimedOut, Refusal.Busy("timed_out", RETRY_AFTER_MS))

    private fun endEarly(
        reason: String,
        ifSent: Refusal,
        ifNotRun: Refusal,
    ) {
        if (isDone) return
        val wasSent = attempt != null || mayHaveRun
        endAttempt(PlacementOutcome.CANCELLED)
        val open = stream
        when {
            open != null -> abortStream(open, reason)
            wasSent -> answerWith(ifSent)
            else -> answerWith(ifNotRun)
        }
    }

    private fun onCallerLeft() {
        if (isDone) return
        endAttempt(PlacementOutcome.CANCELLED)
        finish(CALLER_LEFT, "caller_left")
    }

    /** Cancels the current attempt, or the placement that is still pending. */
    private fun endAttempt(outcome: PlacementOutcome) {
        val current = attempt
        attempt = null
        if (current == null) return context.placementClient.withdraw(requestId)
        current.cancel()
        memory?.release()
        upstream?.let {
            val result = placementResult(it, outcome, current.firstByteMs)
            context.placementClient.reportEnd(result.copy(leavingBornMs = current.leavingBornMs))
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
        replacement?.let { releasePlacement(it.granted) }
        if (isReplacing) context.placementClient.withdraw(requestId)
        context.log.recordFinished(route.name, status, reason)
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
                "whole" to accepted.wholeRequest,
            ),
        )
        onEnd(this)
    }

    private fun elapsedMs() = context.timer.nowMs() - arrivedMs

    private fun remainingMs() = max(1, untilMs - context.timer.nowMs())

    private companion object {
        const val OK = 200
        const val FIRST_FAILURE = 500

        /** An upstream rejects a request faster than it serves one. */
        const val FIRST_REJECTION = 400

        /** Statuses in logs and metrics only: the caller left before the answer, and a stream was aborted. */
        const val CALLER_LEFT = 499
        const val STREAM_ABORTED = 599

        /** With less time than this before the deadline no further attempt is made. */
        const val MIN_REMAINING_MS = 20L

        /** Placements that are declined before the request is refused; each is reported to the coordinator. */
        const val MAX_DECLINED = 8
        const val RETRY_AFTER_MS = 500L
        const val MAX_LOGGED_PARTS = 16

        /**
         * Attempts that may fail before anything is sent. When a failure domain is lost, several engines that were placed
         * cannot be reached; each attempt takes 400 ms at most, and the deadline ends them all.
         */
        const val MAX_UNSENT = 8

        /** Sends beyond the limit of the route, for attempts in which the upstream did not run the request. */
        const val EXTRA_SENDS_IF_NOT_RUN = 2
    }
}

/** An upstream that was granted in place of a silent one, and who granted it. */
private class Replacement(
    val granted: Placement.Granted,
    val by: String,
)

/** The route, service and team of an accepted request, from the configuration at [revision]. */
internal class AcceptedRequest(
    val route: Route,
    val service: ServiceName,
    val team: Team?,
    val revision: Long,
    /** What only repeats of this request by the same caller have. */
    val wholeRequest: RequestTrait,
    sharedParts: Set<RequestTrait>,
) {
    /** What tells this request from others, or has it in common with them, if upstreams end under it. */
    val traits: Set<RequestTrait> = sharedParts + wholeRequest
}
