package samphirechute.serving.placement

/**
 * How long an instance decides by itself after a question that the coordinator has not answered. The load that it answers is
 * a coordinator that has just started before a whole fleet: each silence that follows another is twice as long.
 */
internal class CoordinatorBackoff {
    private var untilMs = Long.MIN_VALUE / 2
    private var nextMs = INITIAL_MS

    fun isActive(nowMs: Long) = nowMs < untilMs

    /** A question found no answer; those that were asked together count as one. */
    fun recordTimeout(nowMs: Long) {
        if (isActive(nowMs)) return
        untilMs = nowMs + nextMs
        nextMs = (2 * nextMs).coerceAtMost(MAX_MS)
    }

    /** The coordinator has answered, or there is another one. */
    fun reset() {
        untilMs = Long.MIN_VALUE / 2
        nextMs = INITIAL_MS
    }

    private companion object {
        const val INITIAL_MS = 400L
        const val MAX_MS = 1_600L
    }
}
