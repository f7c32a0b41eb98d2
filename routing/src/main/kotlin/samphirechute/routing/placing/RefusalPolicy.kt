package samphirechute.routing.placing

/**
 * Decides how long a request may wait, and after which time a refused caller may retry. Used by [Placer].
 *
 * Under overload, upstreams cannot begin all requests before their callers give up. Requests that would wait too long
 * are refused at once, so that their capacity serves others, and queued ones are refused before their callers give up.
 */
internal object RefusalPolicy {
    private const val NO_UPSTREAM_RETRY_MS = 1_000L
    private const val TOO_LARGE_RETRY_MS = 3_000L
    private const val SHORTEST_RETRY_MS = 300L
    private const val LONGEST_RETRY_MS = 3_000L

    /** The number of engines whose memory one prompt may use together. */
    private const val MAX_HOLDERS = 8

    /** Share of the caller's wait that a request may spend in the queue; the rest is left for the prefill. */
    private const val MAX_WAIT_SHARE = 0.7

    fun noUpstream() = refused(RefusedReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_MS)

    fun tooLarge() = refused(RefusedReason.TOO_LARGE, TOO_LARGE_RETRY_MS)

    fun turnedAway(leftMs: Long) = refused(RefusedReason.TURNED_AWAY, leftMs)

    /** Refuses a request whose upstreams take the next one for it after [returnMs]. */
    fun limited(returnMs: Long) = Placement.Refused(RefusedReason.LIMITED, returnMs.coerceAtLeast(SHORTEST_RETRY_MS))

    /** Refuses a request whose prompt is in quarantine for at least [returnMs]. */
    fun quarantined(returnMs: Long) = Placement.Refused(RefusedReason.QUARANTINED, returnMs)

    /** Refuses a request that would have to wait for about [waitMs], after which it may be retried. */
    fun overloaded(waitMs: Long) = refused(RefusedReason.OVERLOADED, waitMs)

    fun expired() = refused(RefusedReason.EXPIRED, SHORTEST_RETRY_MS)

    fun isTooLarge(
        pool: PoolProfile,
        request: PlacementRequest,
    ): Boolean {
        val memoryTokens = pool.engine?.memoryTokens ?: return false
        return request.promptTokens + request.answerTokens > memoryTokens * MAX_HOLDERS
    }

    /** Returns how much longer a request may wait for an upstream before its caller gives up. */
    fun maxWaitMs(request: PlacementRequest): Long {
        val untilLeavingMs = (request.abandonAfterMs * MAX_WAIT_SHARE).toLong() - request.elapsedMs
        return minOf(untilLeavingMs, (request.deadlineMs * MAX_WAIT_SHARE).toLong()).coerceAtLeast(0)
    }

    private fun refused(
        reason: RefusedReason,
        retryAfterMs: Long,
    ) = Placement.Refused(reason, retryAfterMs.coerceIn(SHORTEST_RETRY_MS, LONGEST_RETRY_MS))
}
