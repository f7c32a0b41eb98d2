package samphirechute.routing.placing

import samphirechute.core.RequestId

/** The queue before [WorkQueue], to compare with: by priority and arrival, with an expected wait that counts requests. */
internal class CountedQueue(
    override var profile: PoolProfile,
) : PoolQueue {
    private val waiting = LinkedHashMap<RequestId, Waiting>()
    private val endsMs = ArrayDeque<Long>()

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
        waiting.values.sortedWith(compareBy({ it.request.priority }, { it.sinceMs })).map { it.request }

    override fun hasPrecedingRequest(
        request: PlacementRequest,
        nowMs: Long,
    ) = waiting.values.any {
        it.request.priority <= request.priority && it.request.promptTokens <= request.promptTokens
    }

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
        while (endsMs.isNotEmpty() && endsMs.first() < nowMs - WINDOW_MS) endsMs.removeFirst()
        val before = countPreceding(request)
        val waitMs = if (before == 0) 0 else (before + 1) * WINDOW_MS / maxOf(1, endsMs.size)
        return ExpectedWait(waitMs, before, before.toDouble())
    }

    override fun longestExpectedMs(
        request: PlacementRequest,
        maxWaitMs: Long,
    ) = maxWaitMs

    override fun countPreceding(request: PlacementRequest) =
        waiting.values.count { it.request.priority <= request.priority }

    override fun returnMs(
        request: PlacementRequest,
        expected: ExpectedWait,
        nowMs: Long,
    ) = expected.waitMs

    override fun promiseReturn(
        waitMs: Long,
        intervalMs: Long,
        nowMs: Long,
    ) = waitMs

    private class Waiting(
        val request: PlacementRequest,
        val sinceMs: Long,
        val untilMs: Long,
    )

    private companion object {
        const val WINDOW_MS = 2_000L
    }
}
