package samphirechute.routing.ledger

import samphirechute.routing.GrantRequest

/**
 * A request that waits for its grant. The remaining durations of the [request] are converted to points in time of this
 * coordinator's clock. [costTokens] is what it costs its team in the fair queue.
 */
internal class WaitingRequest(
    val request: GrantRequest,
    val askedMs: Long,
    val costTokens: Long,
) {
    val key = request.key
    val share = request.share.coerceAtLeast(1)
    val firstTokenDeadlineMs = plus(askedMs, request.firstTokenRemainingMs)
    val deadlineMs = plus(askedMs, request.remainingMs)
    val memoryTokens = request.promptTokens + request.maxTokens

    /** True when the team had been served less than its share when the request arrived. */
    var isBelowShare = false

    private fun plus(
        atMs: Long,
        durationMs: Long,
    ) = if (durationMs > Long.MAX_VALUE - atMs) Long.MAX_VALUE else atMs + durationMs
}
