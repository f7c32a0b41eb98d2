package samphirechute.routing.pace

import samphirechute.core.FailureDomain
import kotlin.math.ceil
import kotlin.math.max

/** What an upstream has in hand when its pace is asked for. [slots] is null for a plain application. */
data class PaceLoad(
    val running: Int,
    val slots: Int?,
    /** The tokens that an engine prefills in a second. */
    val prefillTokensPerS: Double = 0.0,
)

/**
 * The pace of one upstream: how much of its usual load it is given now. A plain application is paced by requests per
 * second, against the most that it got in a second of late; an engine by streams and prompt tokens per second, against
 * its slots and its prefill rate.
 */
internal class UpstreamPace {
    private val level = PaceLevel()
    private val grants = ArrayDeque<Grant>()
    private var usualMs = 0.0

    /** The most requests within a second before the upstream was disturbed; decays while it gets fewer. */
    var usualPerS = 0.0
        private set

    val part: Double get() = level.part

    /** Returns whether the upstream may get a request now without exceeding its pace. */
    fun mayGrant(
        load: PaceLoad,
        nowMs: Long,
    ): Boolean {
        if (part >= 1) return true
        dropOld(nowMs)
        if (load.slots == null) return grants.size < max(1.0, usualPerS * part)
        return load.running < ceil(load.slots * part) &&
            grants.sumOf { it.promptTokens } < load.prefillTokensPerS * part
    }

    fun recordGrant(
        promptTokens: Long,
        nowMs: Long,
    ) {
        dropOld(nowMs)
        grants += Grant(nowMs, promptTokens)
        if (part >= 1) usualPerS = max(grants.size.toDouble(), usualPerS * DECAY_PER_GRANT)
    }

    /**
     * Takes in a response. It is late if its caller wanted it sooner and it took twice what was to be expected, so that
     * a wait that was foreseen does not count.
     */
    fun recordAnswer(
        response: PacedResponse,
        nowMs: Long,
    ): PaceCause? {
        val firstByteMs = response.firstByteMs
        val expectedMs = max(response.predictedMs, usualMs)
        val isLate = firstByteMs > response.targetMs && firstByteMs > LATE_FACTOR * expectedMs
        // Late responses move the usual time slowly, so that a disturbance of seconds does not become usual.
        val smoothing = if (isLate) LATE_SMOOTHING else SMOOTHING
        usualMs = if (usualMs == 0.0) firstByteMs.toDouble() else usualMs + smoothing * (firstByteMs - usualMs)
        return level.record(
            if (isLate) PaceCause.LATE else null,
            response.from,
            response.grantedMs,
            loadPart(nowMs),
            nowMs,
        )
    }

    fun recordFailure(
        from: FailureDomain?,
        grantedMs: Long,
        nowMs: Long,
    ): PaceCause? = level.record(PaceCause.FAILED, from, grantedMs, loadPart(nowMs), nowMs)

    fun relax(nowMs: Long): PaceCause? = level.relax(nowMs)

    /** Returns which part of the usual load a plain application gets; prompts differ too much to say so of an engine. */
    private fun loadPart(nowMs: Long): Double {
        dropOld(nowMs)
        if (usualPerS == 0.0 || grants.any { it.promptTokens > 0 }) return 1.0
        return max(1.0, grants.size.toDouble()) / usualPerS
    }

    private fun dropOld(nowMs: Long) {
        while (grants.isNotEmpty() && grants.first().atMs <= nowMs - SECOND_MS) grants.removeFirst()
    }

    private class Grant(
        val atMs: Long,
        val promptTokens: Long,
    )

    private companion object {
        const val SECOND_MS = 1_000L
        const val LATE_FACTOR = 2.0
        const val SMOOTHING = 0.2
        const val LATE_SMOOTHING = 0.01

        /** Halves the usual rate in about 70 requests. */
        const val DECAY_PER_GRANT = 0.99
    }
}
