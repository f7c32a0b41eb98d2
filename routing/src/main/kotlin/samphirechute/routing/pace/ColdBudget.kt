package samphirechute.routing.pace

import kotlin.math.max
import kotlin.random.Random

/**
 * Keeps the requests to one upstream under the rate that it can serve while it is cold, which it may become at any
 * moment without announcing it. Requests count when they arrive, summed over all placers, and at most 1.5 times the
 * rate and 5 more may arrive within a second. Three loads are bounded so that their sum stays below that:
 * - A coordinator grants 0.9 of the rate within a second. Grants of different moments may arrive together, so that it
 *   grants no more than 1.35 times the rate within [ARRIVAL_WINDOW_MS].
 * - The last second of a coordinator that has died is not known to its successor, which therefore grants half as much
 *   in its first second, evenly spaced.
 * - Placers without a coordinator together use [SHARED_PART] of the rate, see [ShareSlots].
 */
internal class ColdBudget(
    private val random: Random,
) {
    private val grantsMs = ArrayDeque<Long>()
    private var ownGrantsMs = ArrayDeque<Long>()
    private var slots: ShareSlots? = null

    /** Returns whether this placer, one of [placers], may grant a request now. */
    fun mayGrant(
        ratePerS: Double,
        placers: Int,
        coordinatesSinceMs: Long,
        nowMs: Long,
    ): Boolean {
        if (ratePerS <= 0) return true
        dropOld(nowMs)
        if (placers > 1) return slots(ratePerS, placers, nowMs).isDue(nowMs, intervalMs(ratePerS, placers))
        return isUnderRate(ratePerS, nowMs) && isUnderFirstRate(ratePerS, coordinatesSinceMs, nowMs)
    }

    /** Counts a request that is sent now. It [isOwn] if this placer has granted it. */
    fun recordGrant(
        ratePerS: Double,
        placers: Int,
        isOwn: Boolean,
        nowMs: Long,
    ) {
        if (ratePerS <= 0) return
        dropOld(nowMs)
        grantsMs += nowMs
        if (isOwn) ownGrantsMs += nowMs
        if (placers <= 1) return
        val slots = slots(ratePerS, placers, nowMs)
        if (isOwn) slots.recordGrant(nowMs, intervalMs(ratePerS, placers)) else slots.hold(nowMs + SECOND_MS)
    }

    private fun isUnderRate(
        ratePerS: Double,
        nowMs: Long,
    ): Boolean {
        val recent = grantsMs.count { it > nowMs - SECOND_MS }
        // Below one request per second the share of a window would be none at all.
        val most = max(1.0, ratePerS * COORDINATOR_PART)
        return recent < most && grantsMs.size < max(1.0, most * ARRIVAL_WINDOW_MS / SECOND_MS)
    }

    private fun isUnderFirstRate(
        ratePerS: Double,
        coordinatesSinceMs: Long,
        nowMs: Long,
    ): Boolean {
        val sinceMs = nowMs - coordinatesSinceMs
        if (sinceMs >= SECOND_MS) return true
        return ownGrantsMs.count { it >= coordinatesSinceMs } <
            1 + ratePerS * COORDINATOR_PART / 2 * sinceMs / SECOND_MS
    }

    private fun slots(
        ratePerS: Double,
        placers: Int,
        nowMs: Long,
    ): ShareSlots = slots ?: ShareSlots(nowMs + random.nextDouble() * intervalMs(ratePerS, placers)).also { slots = it }

    private fun dropOld(nowMs: Long) {
        while (grantsMs.isNotEmpty() && grantsMs.first() <= nowMs - ARRIVAL_WINDOW_MS) grantsMs.removeFirst()
        while (ownGrantsMs.isNotEmpty() && ownGrantsMs.first() <= nowMs - ARRIVAL_WINDOW_MS) ownGrantsMs.removeFirst()
    }

    companion object {
        const val SECOND_MS = 1_000L

        /** A second and the 500 ms that a grant takes at most to reach its instance. */
        const val ARRIVAL_WINDOW_MS = 1_500L

        /** Share of the rate that a coordinator grants. */
        const val COORDINATOR_PART = 0.9

        /**
         * Share of the rate that placers without a coordinator use together. With the moments that are valid for 500 ms,
         * 0.6 of the rate may come within a second on average, which together with a coordinator makes 1.5.
         */
        const val SHARED_PART = 0.4

        private fun intervalMs(
            ratePerS: Double,
            placers: Int,
        ) = SECOND_MS / share(ratePerS, placers)

        /** Returns the rate that each of [placers] may use that do not see each other's requests. */
        fun share(
            ratePerS: Double,
            placers: Int,
        ) = ratePerS * SHARED_PART / placers
    }
}
