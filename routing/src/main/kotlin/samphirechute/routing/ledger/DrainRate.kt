package samphirechute.routing.ledger

import kotlin.math.exp

/**
 * The rate at which a queue drains, in tokens per millisecond, as an average over the last few seconds in which
 * requests waited. Until requests have waited for [MIN_OBSERVED_MS], the announced rate of the upstreams is used
 * instead.
 */
internal class DrainRate {
    private var tokens = 0.0
    private var observedMs = 0.0
    private var updatedMs = 0L
    private var wasWaiting = false

    fun recordGrant(
        costTokens: Long,
        isWaiting: Boolean,
        nowMs: Long,
    ) {
        advance(isWaiting, nowMs)
        if (isWaiting) tokens += costTokens
    }

    fun advance(
        isWaiting: Boolean,
        nowMs: Long,
    ) {
        val elapsedMs = (nowMs - updatedMs).toDouble()
        updatedMs = nowMs
        if (wasWaiting && elapsedMs > 0) {
            val decay = exp(-elapsedMs / WINDOW_MS)
            tokens *= decay
            observedMs = observedMs * decay + elapsedMs
        }
        wasWaiting = isWaiting
    }

    fun tokensPerMs(announced: Double) =
        if (observedMs < MIN_OBSERVED_MS || tokens <= 0) announced else tokens / observedMs

    private companion object {
        const val WINDOW_MS = 4_000.0
        const val MIN_OBSERVED_MS = 1_000.0
    }
}
