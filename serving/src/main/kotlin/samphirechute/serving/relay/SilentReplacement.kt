package samphirechute.serving.relay

import samphirechute.core.UpstreamId
import samphirechute.routing.placing.Placement

/**
 * Looks for another upstream while the current one of a request sends nothing. The current attempt ends only once another
 * upstream takes the request, since a silent upstream may still answer. [Relay] creates one for each request.
 */
internal class SilentReplacement(
    private val request: RelayedRequest,
    private val rules: RetryRules,
    private val stream: RelayedStream,
    private val dispatcher: Dispatcher,
) {
    private val context = request.context

    /** True while the placement on another upstream is awaited. */
    var isPending = false
        private set

    /** The upstream that takes the request over from a silent one, until it is used. */
    private var granted: Replacement? = null

    val isGranted: Boolean get() = granted != null

    /** Asks for another upstream, unless the request may not be sent again or has no other one. */
    fun find(silent: Attempt) {
        val current = dispatcher.upstream ?: return
        if (isPending || !isAllowed(current)) return
        isPending = true
        val progress = silent.progress
        val needsRetryGrant = !context.budget.hasRemaining(request.nowMs, dispatcher.isCostly)
        dispatcher.place(current, needsRetryGrant) { placement, by ->
            isPending = false
            when {
                // The attempt has ended meanwhile, and the request waits for this placement.
                dispatcher.attempt !== silent -> {
                    dispatcher.onPlacement(placement, by)
                }

                placement !is Placement.Granted || silent.progress != progress -> {
                    keep(current, placement, by)
                }

                isUsable(placement) -> {
                    granted = Replacement(placement, by)
                    silent.endAsSilent()
                }

                else -> {
                    dispatcher.exclude(placement.upstream)
                    keep(current, placement, by)
                }
            }
        }
    }

    /** Returns the replacement and forgets it. */
    fun take(): Replacement? = granted.also { granted = null }

    /** Returns what was granted and is not used, and withdraws what is pending, because the request has ended. */
    fun end() {
        granted?.let { dispatcher.release(it.granted) }
        if (isPending) context.placementClient.withdraw(request.id)
    }

    private fun isAllowed(current: UpstreamId) = rules.mayReplace() && dispatcher.hasAlternative(current)

    /** The check that counts against the budget comes last. */
    private fun isUsable(placement: Placement.Granted) =
        rules.maySendAgain() && dispatcher.isUsable(placement) && dispatcher.payRetry(placement)

    /** Goes on waiting for [current], since no other upstream takes the request or an answer has come meanwhile. */
    private fun keep(
        current: UpstreamId,
        placement: Placement,
        by: String,
    ) {
        dispatcher.release(placement)
        request.log(
            "silent_kept",
            mapOf(
                "upstream" to current,
                "by" to by,
                "refused" to (placement as? Placement.Refused)?.reason?.name?.lowercase(),
                "events" to stream.lastEventId,
                "after_ms" to request.elapsedMs,
            ),
        )
    }
}

/** An upstream that was granted in place of a silent one, and who granted it. */
internal class Replacement(
    val granted: Placement.Granted,
    val by: String,
)
