package samphirechute.routing.pace

import samphirechute.core.FailureDomain
import kotlin.math.min

/** Why the pace of an upstream has changed. */
enum class PaceCause {
    LATE,
    FAILED,
    RECOVERED,
}

/**
 * The part of its usual load that one upstream is given, from how it responds: it halves when at least half of
 * the recent responses are late or failures, and doubles when they are in time again.
 *
 * Hysteresis: only responses to requests that were granted after the last change count, each change needs several of
 * them, and changes are [STEP_MS] apart. So the whole system raises the load of an upstream from the least part to the
 * usual one in 2.5 s at the soonest.
 */
internal class PaceLevel {
    /** 1 if the upstream is undisturbed. */
    var part = 1.0
        private set
    private val recent = ArrayDeque<Response>()
    private var changedMs = Long.MIN_VALUE / 2

    /**
     * Takes in how a request granted at [grantedMs] to [from] ended, [trouble] if it was late or failed, while the
     * upstream gets [loadPart] of its usual load. Returns the cause if that changes the pace.
     */
    fun record(
        trouble: PaceCause?,
        from: FailureDomain?,
        grantedMs: Long,
        loadPart: Double,
        nowMs: Long,
    ): PaceCause? {
        if (grantedMs < changedMs) return null
        recent += Response(trouble, from, nowMs)
        while (recent.size > MOST_RESPONSES || nowMs - recent.first().atMs > KEEP_MS) recent.removeFirst()
        if (nowMs - changedMs < STEP_MS || recent.size < FEWEST_RESPONSES) return null
        val troubled = recent.filter { it.trouble != null }
        return when {
            isUpstreamAtFault(troubled) -> lower(troubled.last().trouble, loadPart, nowMs)
            troubled.size * 4 <= recent.size -> raise(nowMs)
            else -> null
        }
    }

    /** Raises the pace of an upstream of which no response has told for [KEEP_MS]; returns the cause if it did. */
    fun relax(nowMs: Long): PaceCause? = if (part < 1 && nowMs - changedMs >= KEEP_MS) raise(nowMs) else null

    /**
     * Returns whether at least half of the responses are troubled. If those all went to one failure domain, to which
     * others did not, the network between may be the cause.
     */
    private fun isUpstreamAtFault(troubled: List<Response>): Boolean {
        if (troubled.size * 2 < recent.size) return false
        val domains = troubled.map { it.from }.toSet()
        return domains.size > 1 || recent.all { it.from in domains }
    }

    private fun lower(
        cause: PaceCause?,
        loadPart: Double,
        nowMs: Long,
    ): PaceCause? {
        if (part <= LEAST_PART) return null
        // An upstream that responds slowly gets less than usual already, since its slots are occupied.
        part = (min(part, loadPart) / 2).coerceAtLeast(LEAST_PART)
        changed(nowMs)
        return cause
    }

    private fun raise(nowMs: Long): PaceCause? {
        if (part >= 1) return null
        part = (part * RAISE).coerceAtMost(1.0)
        changed(nowMs)
        return PaceCause.RECOVERED
    }

    private fun changed(nowMs: Long) {
        changedMs = nowMs
        recent.clear()
    }

    private class Response(
        val trouble: PaceCause?,
        val from: FailureDomain?,
        val atMs: Long,
    )

    companion object {
        /** The upstream always gets this part, since only its responses tell that it has recovered. */
        const val LEAST_PART = 0.03125
        const val RAISE = 2.0

        /** Responses to requests of before a change arrive for about this long. */
        const val STEP_MS = 500L

        /** Older responses say nothing about the upstream now. */
        const val KEEP_MS = 3_000L
        const val FEWEST_RESPONSES = 4
        const val MOST_RESPONSES = 16
    }
}
