package samphirechute.routing.placing

import samphirechute.core.RequestId

/**
 * The queue of a service whose settings do not ask for [WorkQueue]: streams that have begun first, then by priority and arrival. The
 * expected wait counts the requests ahead, at the rate at which requests have ended lately.
 */
internal class CountedQueue(
    override var profile: PoolProfile,
) : PoolQueue {
    private val waiting = LinkedHashMap<RequestId, Waiting>()
    private val endsMs = ArrayDeque<Long>()
    private var promisedMs = 0L

    override val size get() = waiting.size

    override fun add(
        request: PlacementRequest,
        untilMs: Long,
        nowMs: Long,
    ) {
        waiting[request.request] = Waiting(request, nowMs, untilMs)
    }

    override fun remove(request: RequestId) = waiting.remove(request) != null

    override fun waitedMs(
        request: RequestId,
        nowMs: Long,
    ) = waiting[request]?.let { nowMs - it.sinceMs } ?: 0

    override fun inOrder() =
        waiting.values
            .sortedWith(compareBy({ !it.request.hasBegun }, { it.request.priority }, { it.sinceMs }))
            .map { it.request }

    override fun hasPrecedingRequest(
        request: PlacementRequest,
        nowMs: Long,
    ) = waiting.values.any { precedes(it.request, request) && it.request.promptTokens <= request.promptTokens }

    override fun isBlocking(
        request: PlacementRequest,
        nowMs: Long,
    ) = false

    override fun isBlocked(
        later: PlacementRequest,
        first: PlacementRequest,
    ) = false

    override fun expired(nowMs: Long) = waiting.values.filter { nowMs >= it.untilMs }.map { it.request }

    override fun removeHopeless(
        capacity: PoolCapacity,
        nowMs: Long,
    ) = emptyList<HopelessRequest>()

    override fun recordGrant(
        request: PlacementRequest,
        nowMs: Long,
    ) = Unit

    override fun recordEnd(
        heldMs: Long,
        nowMs: Long,
    ) {
        endsMs += nowMs
        dropOldEnds(nowMs)
    }

    override fun observe(
        capacity: PoolCapacity,
        nowMs: Long,
    ) = Unit

    override fun expectedWait(
        request: PlacementRequest,
        capacity: PoolCapacity,
        nowMs: Long,
    ): ExpectedWait {
        dropOldEnds(nowMs)
        val before = countPreceding(request)
        val waitMs = if (before == 0) 0 else (before + 1) * WINDOW_MS / maxOf(1, endsMs.size)
        return ExpectedWait(waitMs, before, before.toDouble())
    }

    override fun longestExpectedMs(
        request: PlacementRequest,
        maxWaitMs: Long,
    ) = maxWaitMs

    override fun countPreceding(request: PlacementRequest) = waiting.values.count { precedes(it.request, request) }

    override fun returnMs(
        request: PlacementRequest,
        expected: ExpectedWait,
        nowMs: Long,
    ) = expected.waitMs

    override fun promiseReturn(
        waitMs: Long,
        intervalMs: Long,
        nowMs: Long,
    ): Long {
        promisedMs = minOf(maxOf(promisedMs + intervalMs, nowMs + waitMs), nowMs + LONGEST_RETURN_MS)
        return promisedMs - nowMs
    }

    private fun precedes(
        other: PlacementRequest,
        request: PlacementRequest,
    ) = if (other.hasBegun == request.hasBegun) other.priority <= request.priority else other.hasBegun

    private fun dropOldEnds(nowMs: Long) {
        while (endsMs.isNotEmpty() && endsMs.first() < nowMs - WINDOW_MS) endsMs.removeFirst()
    }

    private class Waiting(
        val request: PlacementRequest,
        val sinceMs: Long,
        val untilMs: Long,
    )

    private companion object {
        /** Ends that are older than this do not count in the estimate. */
        const val WINDOW_MS = 2_000L

        /** Callers do not wait for longer than this to come back. */
        const val LONGEST_RETURN_MS = 30_000L
    }
}
