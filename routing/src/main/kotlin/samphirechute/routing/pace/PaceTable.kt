package samphirechute.routing.pace

import samphirechute.core.UpstreamId
import kotlin.random.Random

/**
 * Decides for each upstream whether it may be granted a request now. It is soft state of one placer. [placers] gives the
 * number of placers that place on the same upstreams without seeing each other's requests, this one included.
 */
class PaceTable(
    private val random: Random,
    private val placers: () -> Int,
) {
    private val budgets = HashMap<UpstreamId, ColdBudget>()
    private var isShared = false
    private var coordinatesSinceMs = Long.MIN_VALUE / 2

    /** Forgets all but [upstreams]. */
    fun retain(upstreams: Set<UpstreamId>) {
        budgets.keys.retainAll(upstreams)
        isShared = isShared || placers() > 1
    }

    /** Returns whether [upstream], which serves [coldPerS] requests per second while it is cold, may get one now. */
    fun isUnderColdRate(
        upstream: UpstreamId,
        coldPerS: Double,
        nowMs: Long,
    ): Boolean {
        if (coldPerS <= 0) return true
        val count = countPlacers(nowMs)
        return budget(upstream).mayGrant(coldPerS, count, coordinatesSinceMs, nowMs)
    }

    /** Counts a request or a part of a prompt that [upstream] is sent now. It [isOwn] if this placer has granted it. */
    fun recordGrant(
        upstream: UpstreamId,
        coldPerS: Double,
        isOwn: Boolean,
        nowMs: Long,
    ) {
        if (coldPerS > 0) budget(upstream).recordGrant(coldPerS, countPlacers(nowMs), isOwn, nowMs)
    }

    /** Returns the number of placers, and notes since when this one has placed alone. */
    private fun countPlacers(nowMs: Long): Int {
        val count = placers()
        if (isShared && count <= 1) coordinatesSinceMs = nowMs
        isShared = count > 1
        return count
    }

    private fun budget(upstream: UpstreamId) = budgets.getOrPut(upstream) { ColdBudget(random) }
}
