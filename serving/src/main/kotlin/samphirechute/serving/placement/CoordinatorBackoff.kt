package samphirechute.serving.placement

/**
 * The time for which an instance places requests itself after the coordinator failed to answer one; used by
 * [PlacementClient].
 *
 * The time doubles with each further failure up to a limit, so that a coordinator that has just started is not
 * overloaded by the requests of all instances.
 */
internal class CoordinatorBackoff {
    private var untilMs = Long.MIN_VALUE / 2
    private var nextMs = INITIAL_MS

    /** Returns whether the coordinator should not be asked yet. */
    fun isActive(nowMs: Long) = nowMs < untilMs

    /** Records a request without an answer. Requests that were sent together count as one. */
    fun recordTimeout(nowMs: Long) {
        if (isActive(nowMs)) return
        untilMs = nowMs + nextMs
        nextMs = (2 * nextMs).coerceAtMost(MAX_MS)
    }

    /** Ends the backoff, because the coordinator has answered or another one has taken over. */
    fun reset() {
        untilMs = Long.MIN_VALUE / 2
        nextMs = INITIAL_MS
    }

    private companion object {
        const val INITIAL_MS = 400L
        const val MAX_MS = 1_600L
    }
}
