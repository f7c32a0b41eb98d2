package samphirechute.routing.ledger

import samphirechute.routing.GrantRequest

/** A request that waits for its grant, with its remaining times as points in time of this coordinator. */
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

    /** True when its team had been served less than its share when this was asked. */
    var isBelowShare = false

    private fun plus(
        atMs: Long,
        durationMs: Long,
    ) = if (durationMs > Long.MAX_VALUE - atMs) Long.MAX_VALUE else atMs + durationMs
}
