package samphirechute.state

/**
 * Counts elapsed time, but at most [maxStepMs] between two readings. A longer step is a pause of the process or a
 * jump of its clock; while it lasted the process heard nobody, so it proves nothing about the others.
 */
internal class SteppedClock(
    private val maxStepMs: Long = MAX_STEP_MS,
) {
    private var lastNowMs: Long? = null

    var elapsedMs = 0L
        private set

    fun advance(nowMs: Long) {
        elapsedMs += (nowMs - (lastNowMs ?: nowMs)).coerceIn(0, maxStepMs)
        lastNowMs = nowMs
    }

    private companion object {
        /** Twice the longest tick of 100 ms. */
        const val MAX_STEP_MS = 200L
    }
}
