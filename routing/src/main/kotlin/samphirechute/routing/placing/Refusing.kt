package samphirechute.routing.placing

/**
 * Which requests are refused, and when they may come back. The load that it answers is more requests than the upstreams
 * can begin before the callers leave: those that would wait longer are refused at once, while what they would have taken
 * serves others, and those that wait are refused before their callers leave.
 */
internal object Refusing {
    private const val NO_UPSTREAM_RETRY_MS = 1_000L
    private const val TOO_LARGE_RETRY_MS = 3_000L
    private const val SHORTEST_RETRY_MS = 300L
    private const val LONGEST_RETRY_MS = 3_000L

    /** Engines that may hold parts of one prompt. */
    private const val MAX_HOLDERS = 8

    /** The rest of a caller's patience is left for reading the prompt. */
    private const val PATIENCE_SHARE = 0.7

    fun noUpstream() = refused(RefusedReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_MS)

    fun tooLarge() = refused(RefusedReason.TOO_LARGE, TOO_LARGE_RETRY_MS)

    fun turnedAway(leftMs: Long) = refused(RefusedReason.TURNED_AWAY, leftMs)

    /** There is room for one more request after [waitMs]. */
    fun overloaded(waitMs: Long) = refused(RefusedReason.OVERLOADED, waitMs)

    fun expired() = refused(RefusedReason.EXPIRED, SHORTEST_RETRY_MS)

    fun isTooLarge(
        pool: PoolProfile,
        request: PlacementRequest,
    ): Boolean {
        val memoryTokens = pool.engine?.memoryTokens ?: return false
        return request.promptTokens + request.answerTokens > memoryTokens * MAX_HOLDERS
    }

    /** How much longer a request may wait for an upstream. */
    fun patienceMs(request: PlacementRequest): Long {
        val untilLeavingMs = (request.leaveMs * PATIENCE_SHARE).toLong() - request.elapsedMs
        return minOf(untilLeavingMs, (request.deadlineMs * PATIENCE_SHARE).toLong()).coerceAtLeast(0)
    }

    private fun refused(
        reason: RefusedReason,
        retryAfterMs: Long,
    ) = Placement.Refused(reason, retryAfterMs.coerceIn(SHORTEST_RETRY_MS, LONGEST_RETRY_MS))
}
