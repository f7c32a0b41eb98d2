package samphirechute.routing.placing

/**
 * The rate at which requests of a service end and free what they hold. It is counted; a service that had little to do ends few
 * requests, so the number that runs divided by the mean time they take is used if it is higher, until requests have waited for
 * a whole [WINDOW_MS].
 */
internal class EndRate {
    private val endsMs = ArrayDeque<Long>()
    private var meanHeldMs = 0.0

    fun record(
        heldMs: Long,
        nowMs: Long,
    ) {
        endsMs += nowMs
        dropOld(nowMs)
        meanHeldMs = if (meanHeldMs == 0.0) heldMs.toDouble() else meanHeldMs + SMOOTHING * (heldMs - meanHeldMs)
    }

    /** Returns the ends per millisecond while [running] requests run. [waitingMs] is the time since when others wait. */
    fun perMs(
        running: Int,
        waitingMs: Long,
        nowMs: Long,
    ): Double {
        dropOld(nowMs)
        val counted = maxOf(1, endsMs.size) / WINDOW_MS.toDouble()
        val modelled = running / maxOf(meanHeldMs, SHORTEST_HELD_MS)
        return when {
            meanHeldMs == 0.0 -> counted
            waitingMs >= WINDOW_MS -> maxOf(counted, modelled / MAX_ERROR)
            else -> maxOf(counted, minOf(modelled, counted * MAX_ERROR))
        }
    }

    private fun dropOld(nowMs: Long) {
        while (endsMs.isNotEmpty() && endsMs.first() < nowMs - WINDOW_MS) endsMs.removeFirst()
    }

    private companion object {
        const val WINDOW_MS = 2_000L
        const val SMOOTHING = 0.05
        const val SHORTEST_HELD_MS = 10.0
        const val MAX_ERROR = 10.0
    }
}
