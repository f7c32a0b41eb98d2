package samphirechute.routing.placing

import samphirechute.routing.limit.UpstreamLimits
import samphirechute.routing.quarantine.RequestQuarantine

/**
 * Decides which requests are refused on arrival, whatever the load: those in quarantine, those that no upstream can serve, and
 * those that limits of upstreams would keep waiting for too long. Used by [Placer].
 */
internal class Admission(
    private val candidates: CandidateSelector,
    private val limits: UpstreamLimits,
    private val quarantine: RequestQuarantine,
    private val turnedAway: TurnedAwayTable,
) {
    /** Returns why the request is refused, or null if it may be placed or wait. */
    fun refuse(
        pool: PoolQueue,
        request: PlacementRequest,
        isLearning: Boolean,
        mayProbe: Boolean,
        nowMs: Long,
    ): Placement.Refused? {
        refuseQuarantined(request, mayProbe, nowMs)?.let { return it }
        val open = candidates.open(request)
        if (open.isEmpty() && !isLearning) return RefusalPolicy.noUpstream()
        val shortestMs = open.minOfOrNull { turnedAway.remainingMs(request.instance, it.upstream.id, nowMs) } ?: 0
        if (shortestMs > 0) return RefusalPolicy.turnedAway(shortestMs)
        if (RefusalPolicy.isTooLarge(pool.profile, request)) return RefusalPolicy.tooLarge()
        return limitedReturnMs(pool, request, open, nowMs)?.let { RefusalPolicy.limited(it) }
    }

    fun refuseQuarantined(
        request: PlacementRequest,
        mayProbe: Boolean,
        nowMs: Long,
    ): Placement.Refused? {
        val found = quarantine.find(request.traits, nowMs) ?: return null
        if (mayProbe && quarantine.isProbeDue(found, nowMs)) return null
        return RefusalPolicy.quarantined(quarantine.retryAfterMs(found, nowMs))
    }

    /**
     * Returns when the caller may come back if all of [open] have limits that keep the request waiting for longer than
     * its caller does, otherwise null. Callers are given different times, so that they do not all come back for the same
     * requests that the upstreams take.
     */
    private fun limitedReturnMs(
        pool: PoolQueue,
        request: PlacementRequest,
        open: List<UpstreamLoad>,
        nowMs: Long,
    ): Long? {
        if (open.isEmpty()) return null
        val allowedPerS = open.sumOf { limits.allowedPerS(it.upstream.id) ?: return null }
        val intervalMs = (MS_PER_SECOND / allowedPerS).toLong()
        val firstMs = open.minOf { limits.waitMs(it.upstream.id, nowMs) }
        val waitMs = firstMs + pool.countPreceding(request) * intervalMs
        return if (waitMs > RefusalPolicy.maxWaitMs(request)) pool.promiseReturn(waitMs, intervalMs, nowMs) else null
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
