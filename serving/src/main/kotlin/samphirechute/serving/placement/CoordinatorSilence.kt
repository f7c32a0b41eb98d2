package samphirechute.serving.placement

/**
 * How long an instance decides by itself after a question that the coordinator has not answered. The load that it answers is
 * a coordinator that has just started before a whole fleet: each silence that follows another is twice as long.
 */
internal class CoordinatorSilence {
    private var untilMs = Long.MIN_VALUE / 2
    private var nextMs = FIRST_MS

    fun isAvoided(nowMs: Long) = nowMs < untilMs

    /** A question found no answer; those that were asked together count as one. */
    fun noticed(nowMs: Long) {
        if (isAvoided(nowMs)) return
        untilMs = nowMs + nextMs
        nextMs = (2 * nextMs).coerceAtMost(MOST_MS)
    }

    /** The coordinator has answered, or there is another one. */
    fun end() {
        untilMs = Long.MIN_VALUE / 2
        nextMs = FIRST_MS
    }

    private companion object {
        const val FIRST_MS = 400L
        const val MOST_MS = 1_600L
    }
}
