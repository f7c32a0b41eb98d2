package samphirechute.routing.flow

import samphirechute.core.RequestId

/**
 * The coordinator's part of the retry budget, which it grants with the placement of a retry. It addresses the load in which
 * the requests of a few instances fail while the others have retries left that they do not need.
 *
 * A retry is promised while its placement waits, and counts for the window from the moment of the placement. A new
 * coordinator does not know what was granted before it, so it grants nothing for one window.
 */
class RetryGrants(
    private val part: Int,
) {
    private val budget = RetryBudget(share = 0.0, keptShare = RetryParts.KEPT_SHARE) { part }

    /** The retries whose placement is awaited, with the time at which each ends at the latest. */
    private val promisedUntilMs = HashMap<RequestId, Long>()
    private var leadTerm: Long? = null
    private var grantsFromMs = Long.MAX_VALUE

    /**
     * Tells in which term this instance leads, or null if it does not. [isFirst] is true if no coordinator can have granted
     * anything before.
     */
    fun setLeading(
        term: Long?,
        isFirst: Boolean,
        nowMs: Long,
    ) {
        if (term == leadTerm) return
        leadTerm = term
        promisedUntilMs.clear()
        grantsFromMs =
            when {
                term == null -> Long.MAX_VALUE
                isFirst -> nowMs
                else -> nowMs + RetryBudget.WINDOW_MS
            }
    }

    /** Promises a retry until it is settled or given back, at the latest until [untilMs]. Returns false if none is left. */
    fun promise(
        request: RequestId,
        isCostly: Boolean,
        untilMs: Long,
        nowMs: Long,
    ): Boolean {
        if (nowMs < grantsFromMs) return false
        promisedUntilMs.values.removeIf { it <= nowMs }
        promisedUntilMs.remove(request)
        if (!budget.hasRemaining(nowMs, isCostly, promisedUntilMs.size)) return false
        promisedUntilMs[request] = untilMs
        return true
    }

    /** Counts a promised retry, since it is placed now. Returns false if it is not promised any more. */
    fun settle(
        request: RequestId,
        nowMs: Long,
    ): Boolean {
        val untilMs = promisedUntilMs.remove(request) ?: return false
        return nowMs < untilMs && budget.tryAcquire(nowMs)
    }

    /** Ends the promise to a request that is not placed. */
    fun giveBack(request: RequestId) {
        promisedUntilMs.remove(request)
    }

    /** The retries that could be granted now; 0 while nothing is granted. */
    fun left(nowMs: Long): Long =
        if (nowMs < grantsFromMs) 0 else (budget.left(nowMs) - promisedUntilMs.size).coerceAtLeast(0)
}
