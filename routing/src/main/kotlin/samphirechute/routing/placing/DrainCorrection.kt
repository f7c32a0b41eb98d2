package samphirechute.routing.placing

import kotlin.math.exp

/**
 * Compares the work that leaves a queue with what its upstreams should take in the same time, while requests wait. An expected
 * wait is divided by the ratio.
 *
 * Without waiting requests the evidence loses its weight, and the ratio returns to 1. It is bounded, so that an estimate that is
 * wrong by a factor of ten is corrected, and a short pause of the queue does not refuse everybody.
 */
internal class DrainCorrection {
    private var drained = 0.0
    private var predicted = 0.0
    private var ratePerMs = 0.0
    private var updatedMs = 0L
    private var isWaiting = false

    /** Takes note of whether requests wait, and of the rate at which the upstreams should take their work. */
    fun observe(
        isWaiting: Boolean,
        ratePerMs: Double,
        nowMs: Long,
    ) {
        val elapsedMs = (nowMs - updatedMs).coerceAtLeast(0).toDouble()
        val decay = exp(-elapsedMs / WINDOW_MS)
        drained *= decay
        predicted *= decay
        if (this.isWaiting) predicted += minOf(elapsedMs, WINDOW_MS) * this.ratePerMs
        this.isWaiting = isWaiting
        this.ratePerMs = ratePerMs
        updatedMs = nowMs
    }

    /** Records work that was granted after it had waited. */
    fun recordDrained(work: Double) {
        drained += work
    }

    fun ratio(): Double {
        val prior = ratePerMs * PRIOR_MS
        if (prior <= 0) return 1.0
        return ((drained + prior) / (predicted + prior)).coerceIn(1 / MAX_ERROR, MAX_ERROR)
    }

    private companion object {
        /** Long enough for several long prompts to be granted, short compared with the swings of the mix. */
        const val WINDOW_MS = 4_000.0

        /** The prediction weighs as much as this time of evidence. */
        const val PRIOR_MS = 500.0
        const val MAX_ERROR = 10.0
    }
}
