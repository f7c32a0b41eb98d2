package samphirechute.serving.relay

import samphirechute.core.UpstreamId
import samphirechute.routing.placing.Placement
import samphirechute.routing.placing.PlacementOutcome
import samphirechute.routing.placing.PlacementRequest
import samphirechute.routing.placing.RefusedReason
import samphirechute.routing.quarantine.Quarantine
import samphirechute.routing.quarantine.RunOutcome

/** What a [Dispatcher] tells the relay of its request. */
internal interface DispatchListener {
    /** The request is not sent, and no other placement is asked for. */
    fun onRefused(
        reason: String,
        retryAfterMs: Long,
    )

    /** The retry that [Dispatcher.owesRetry] stands for is not sent, since no budget is left for it. */
    fun onRetryRefused(by: String)

    fun onSilent(silent: Attempt)

    fun onAttemptEnded(
        ended: Attempt,
        result: AttemptResult,
    )
}

/**
 * Gets placements for one request and sends it to the upstream that was granted: it checks the grant, reserves the memory
 * of the helpers and starts an [Attempt]. Every placement that is not used is reported as ended.
 */
internal class Dispatcher(
    private val request: RelayedRequest,
    private val rules: RetryRules,
    private val stream: RelayedStream,
    private val evidence: AttemptEvidence,
    private val listener: DispatchListener,
    private val isDone: () -> Boolean,
) {
    private val context = request.context
    private val accepted = request.accepted
    private val excluded = LinkedHashSet<UpstreamId>()

    private val addresses = SentAddresses()
    private var memory: MemoryHold? = null

    /** Placements that were not used, see [decline]. */
    private var declined = 0

    /** The current attempt, or null between two attempts. */
    var attempt: Attempt? = null
        private set

    /** The upstream of the last attempt. */
    var upstream: UpstreamId? = null
        private set

    /** True if the coordinator has to know when the answer to the current attempt gets beyond its beginning. */
    var isWatched = false
        private set

    /** True for a retry that has not been charged to the budget; its placement has to be granted together with one. */
    var owesRetry = false

    /** True if the last placement was asked for together with a retry. */
    private var hasAskedForRetry = false

    /** True if the loss of the request would cost callers as much as that of many others. */
    val isCostly: Boolean get() = PlacementRequest.isCostlyToLose(request.caller.promptTokens, stream.hasBegun)

    /** Leaves an upstream out of all later placements. */
    fun exclude(upstream: UpstreamId) {
        excluded += upstream
    }

    /** Returns whether there is an upstream besides [current] and those that are left out. */
    fun hasAlternative(current: UpstreamId) =
        context.placementClient.hasAlternative(accepted.service, excluded + current)

    /** Asks for a placement and sends the request to it. */
    fun place() = place(null, owesRetry, ::onPlacement)

    /** Asks for a placement, on another upstream than [current] if that is given. */
    fun place(
        current: UpstreamId?,
        needsRetryGrant: Boolean,
        onPlaced: (Placement, String) -> Unit,
    ) {
        val placementRequest = request.placementRequest(excluded + listOfNotNull(current), stream, needsRetryGrant)
        hasAskedForRetry = needsRetryGrant
        context.placementClient.place(placementRequest) { placement, by ->
            if (isDone()) release(placement) else onPlaced(placement, by)
        }
    }

    fun onPlacement(
        placement: Placement,
        by: String,
    ) {
        when (placement) {
            is Placement.Granted -> {
                if (owesRetry && !payRetry(placement)) return onUnpaid(placement, by)
                owesRetry = false
                dispatch(placement, by)
            }

            is Placement.Refused -> {
                if (placement.reason == RefusedReason.RETRY_BUDGET) return onUnpaid(placement, by)
                listener.onRefused(placement.reason.name.lowercase(), placement.retryAfterMs)
            }
        }
    }

    /** Charges the retry on [granted] to the budget of the coordinator or of this instance; returns false if both refuse. */
    fun payRetry(granted: Placement.Granted) =
        granted.hasRetryGrant || context.budget.tryAcquire(request.nowMs, isCostly)

    /**
     * Gives up the retry if there is no budget for it. A placement that was asked for beside a silent attempt may have been
     * asked for without a retry, or with one that this instance has paid meanwhile; then it is asked for once more.
     */
    private fun onUnpaid(
        placement: Placement,
        by: String,
    ) {
        release(placement)
        if (owesRetry == hasAskedForRetry) listener.onRetryRefused(by) else place()
    }

    /** Returns a placement that is not used. */
    fun release(placement: Placement) {
        if (placement is Placement.Granted) request.reportEnd(placement.upstream, PlacementOutcome.CANCELLED)
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

    /** Makes the checks of [dispatch] for an upstream that is to replace a silent one. */
    fun isUsable(granted: Placement.Granted) =
        context.availability.isAvailable(granted.upstream) &&
            (granted.isProbe || context.quarantine.find(accepted.traits) == null) && context.limits.admits(granted)

    fun startAttempt(
        granted: Placement.Granted,
        by: String,
    ) {
        isWatched = granted.isWatched
        rules.recordSend()
        upstream = granted.upstream
        logDispatch(granted, by)
        val next =
            Attempt(
                context,
                request.exchange.request,
                request.id,
                stream.takeIf { request.route.isStream },
                AttemptTimeouts.of(request.route, granted, request.remainingMs, isLast = rules.isNextLast),
                listener::onSilent,
                { evidence.observeRun(granted.upstream, it, RunOutcome.SOUND, isWatched) },
                ::onAttemptEnded,
            )
        attempt = next
        val hold = MemoryHold(context, request.id, rules.sends, granted.helpers)
        memory = hold
        hold.acquire { failure -> if (attempt === next) send(next, granted, hold, failure) }
    }

    private fun logDispatch(
        granted: Placement.Granted,
        by: String,
    ) = request.log(
        "dispatched",
        mapOf(
            "route" to request.route.name,
            "revision" to accepted.revision,
            "upstream" to granted.upstream,
            "by" to by,
            "send" to rules.sends,
            "after_ms" to request.elapsedMs,
            "predicted_ms" to granted.firstByteMs,
            "helpers" to granted.helpers.map { it.upstream },
            "limits_per_s" to granted.limitsPerS,
            "tokens" to request.caller.promptTokens,
            "parts" to request.loggedParts,
            "whole" to accepted.wholeRequest,
            "resumes" to stream.hasBegun,
            "watched" to granted.isWatched,
            "probe" to granted.isProbe,
        ),
    )

    /** Rejects a placement of a prompt that is in quarantine here, which the coordinator did not know when it granted it. */
    private fun refuseQuarantined(
        granted: Placement.Granted,
        by: String,
        quarantine: Quarantine,
    ) {
        release(granted)
        val retryAfterMs = context.quarantine.refuse(quarantine)
        request.log(
            "place_declined",
            mapOf(
                "upstream" to granted.upstream,
                "by" to by,
                "reason" to "quarantined",
                "parts" to quarantine.traits.take(RelayedRequest.MAX_LOGGED_PARTS),
                "whole" to accepted.wholeRequest,
                "decided_by" to quarantine.decidedBy,
                "decided_age_ms" to request.nowMs - quarantine.decidedMs,
                "after_ms" to request.elapsedMs,
            ),
        )
        listener.onRefused("quarantined", retryAfterMs)
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
        request.log(
            "place_declined",
            mapOf("upstream" to granted.upstream, "by" to by, "reason" to reason, "after_ms" to request.elapsedMs),
        )
        release(granted)
        excluded += granted.upstream
        if (++declined <= MAX_DECLINED) place() else listener.onRefused("declined", FinalResponse.RETRY_AFTER_MS)
    }

    private fun send(
        next: Attempt,
        granted: Placement.Granted,
        hold: MemoryHold,
        failure: ReservationFailure?,
    ) {
        if (failure != null) return onAttemptEnded(next, AttemptResult.NoMemory(failure))
        val team = accepted.team?.name
        val dispatch = Dispatch(granted.upstream, hold.helpers, request.remainingMs, team, stream.lastEventId)
        val usesNewConnection = addresses.needsNewConnection(granted.address, request.isRepeatable)
        next.start(granted.address, dispatch, mustRunOnce = !request.isRepeatable, usesNewConnection)
    }

    private fun onAttemptEnded(
        ended: Attempt,
        result: AttemptResult,
    ) = listener.onAttemptEnded(ended, result)

    /** Forgets an attempt that has ended and releases the memory that was reserved for it. */
    fun clearAttempt() {
        attempt = null
        memory?.release()
    }

    /** Cancels the current attempt, or the placement that is still pending. */
    fun cancel() {
        val current = attempt
        attempt = null
        if (current == null) return context.placementClient.withdraw(request.id)
        current.cancel()
        memory?.release()
        upstream?.let {
            val result = request.result(it, PlacementOutcome.CANCELLED, current.firstByteMs)
            context.placementClient.reportEnd(result.copy(leavingBornMs = current.leavingBornMs))
        }
    }

    private companion object {
        /** Placements that are declined before the request is refused; each is reported to the coordinator. */
        const val MAX_DECLINED = 8
    }
}
