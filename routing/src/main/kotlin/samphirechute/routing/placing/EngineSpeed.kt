package samphirechute.routing.placing

import kotlin.math.abs
import kotlin.math.max

/** How much longer an engine takes than its profile predicts. Used by [UpstreamLoad]. */
internal interface EngineSpeed {
    /** Returns the factor by which the times of this engine exceed those of its profile. */
    fun ratio(nowMs: Long): Double

    /**
     * Takes in that a first event came after [observedMs] where the profile predicts [nominalMs]. [share] is 1 if
     * nothing but this engine can have delayed it, and less if others prefilled parts of the prompt.
     */
    fun recordFirstEvent(
        observedMs: Long,
        nominalMs: Double,
        share: Double,
        nowMs: Long,
    )

    /** Takes every engine to be as fast as its profile states. */
    object Nominal : EngineSpeed {
        override fun ratio(nowMs: Long) = 1.0

        override fun recordFirstEvent(
            observedMs: Long,
            nominalMs: Double,
            share: Double,
            nowMs: Long,
        ) = Unit
    }
}

/**
 * The moving average of the ratio of observed to predicted time to the first event, for pools in which some engines are
 * slower than others: a slow engine that gets the same work as the others delays every prompt that it has a part of.
 *
 * One response moves the average by a bounded amount, so that a prediction that is wrong by a factor of ten does not
 * decide by itself. Small deviations count as none, so that engines of the same speed stay equal in every comparison.
 */
internal class MeasuredSpeed : EngineSpeed {
    private var average = 1.0
    private var updatedMs = 0L

    override fun ratio(nowMs: Long): Double {
        if (abs(average - 1) < NEGLIGIBLE) return 1.0
        val decayed = decayed(nowMs)
        return if (abs(decayed - 1) < NEGLIGIBLE) 1.0 else decayed
    }

    override fun recordFirstEvent(
        observedMs: Long,
        nominalMs: Double,
        share: Double,
        nowMs: Long,
    ) {
        if (nominalMs < SHORTEST_MS) return
        val known = decayed(nowMs)
        val netMs = if (observedMs <= nominalMs) observedMs.toDouble() else max(nominalMs, observedMs - OVERHEAD_MS)
        val sample = (netMs / nominalMs).coerceIn(known / LARGEST_STEP, known * LARGEST_STEP)
        average = (known + SMOOTHING * share * (sample - known)).coerceIn(LOWEST, HIGHEST)
        updatedMs = nowMs
    }

    /** The average approaches 1 when there is no evidence: an engine that was avoided for its speed is tried again. */
    private fun decayed(nowMs: Long): Double {
        val idleMs = (nowMs - updatedMs - FRESH_MS).coerceIn(0, FORGET_MS)
        return 1 + (average - 1) * (1 - idleMs.toDouble() / FORGET_MS)
    }

    private companion object {
        /** First events arrive up to this much later than predicted, due to network and engine overhead. */
        const val OVERHEAD_MS = 40.0

        /** Shorter predictions say more about the overhead than about the engine. */
        const val SHORTEST_MS = 20.0

        /** Four responses in a row of an engine of half the speed bring the average to 1.7. */
        const val SMOOTHING = 0.3

        /** The largest deviation from the average that one response counts with. */
        const val LARGEST_STEP = 2.5

        /**
         * A response may be early because the engine had stored a part of the prompt. Taking the engine for faster than
         * it is costs callers their target, so the average follows early responses only this far.
         */
        const val LOWEST = 0.7

        /** A slower engine would miss most targets; a higher ratio would change no decision. */
        const val HIGHEST = 4.0
        const val NEGLIGIBLE = 0.2

        /**
         * Time for which the average holds without evidence: a stream lasts a few seconds and is reported at its end.
         */
        const val FRESH_MS = 10_000L
        const val FORGET_MS = 30_000L
    }
}
