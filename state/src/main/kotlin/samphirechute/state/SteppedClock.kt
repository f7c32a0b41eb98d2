package samphirechute.state

/**
 * Measures elapsed time, but counts at most [maxStepMs] between two calls of [advance]. A longer step means that the
 * process was paused or its clock jumped. The process received no messages in that time, so the silence of other
 * instances during it must not count as their failure.
 */
internal class SteppedClock(
    private val maxStepMs: Long = MAX_STEP_MS,
) {
    private var lastNowMs: Long? = null

    var elapsedMs = 0L
        private set

    /** Call with the current time before each use of [elapsedMs]. */
    fun advance(nowMs: Long) {
        elapsedMs += (nowMs - (lastNowMs ?: nowMs)).coerceIn(0, maxStepMs)
        lastNowMs = nowMs
    }

    private companion object {
        /** Twice the longest time between two ticks, which is 100 ms. */
        const val MAX_STEP_MS = 200L
    }
}
