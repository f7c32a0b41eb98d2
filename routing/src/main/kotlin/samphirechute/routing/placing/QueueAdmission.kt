package samphirechute.routing.placing

import samphirechute.core.RequestId

/**
 * Decides which requests may join a queue and which may stay there, and tells an observer. A request that cannot be started before
 * its caller gives up is refused at once. Used by [Placer].
 */
internal class QueueAdmission(
    private val candidates: CandidateSelector,
) {
    var observer: QueueObserver = QueueObserver.None

    /**
     * Queues a request and returns null, or returns why it is refused. One that would be the first of the queue is not refused for
     * its expected wait, since only what the queue grants shows that an estimate is wrong.
     */
    fun enqueue(
        pool: PoolQueue,
        request: PlacementRequest,
        isLearning: Boolean,
        nowMs: Long,
    ): Placement.Refused? {
        val maxWaitMs = RefusalPolicy.maxWaitMs(request)
        if (maxWaitMs == 0L) return RefusalPolicy.expired()
        val capacity = PoolCapacity.of(pool.profile, candidates.open(request), nowMs)
        pool.observe(capacity, nowMs)
        val expected = pool.expectedWait(request, capacity, nowMs)
        if (expected.position > 0 && expected.waitMs > pool.longestExpectedMs(request, maxWaitMs) && !isLearning) {
            return refuse(pool, request, expected, waitedMs = 0, nowMs)
        }
        pool.add(request, nowMs + maxWaitMs, nowMs)
        pool.observe(capacity, nowMs)
        observer.queued(request, expected)
        return null
    }

    /** Takes [request] from the queue with the decision on it. */
    fun dequeue(
        pool: PoolQueue,
        request: PlacementRequest,
        placement: Placement,
        nowMs: Long,
    ): PlacementDecision {
        observer.dequeued(request, placement, pool.waitedMs(request.request, nowMs))
        pool.remove(request.request)
        return PlacementDecision(request, placement)
    }

    /** Removes a request without a decision on it, if it waits. */
    fun withdraw(
        pool: PoolQueue,
        request: RequestId,
        nowMs: Long,
    ) {
        val waitedMs = pool.waitedMs(request, nowMs)
        if (pool.remove(request)) observer.withdrawn(request, waitedMs)
    }

    /** Refuses the requests that have waited for as long as they may. */
    fun expire(
        pool: PoolQueue,
        nowMs: Long,
    ): List<PlacementDecision> = pool.expired(nowMs).map { dequeue(pool, it, RefusalPolicy.expired(), nowMs) }

    /** Refuses waiting requests that cannot start before their callers give up, those of the lowest priority first. */
    fun refuseHopeless(
        pool: PoolQueue,
        isLearning: Boolean,
        nowMs: Long,
    ): List<PlacementDecision> {
        val capacity = PoolCapacity.of(pool.profile, candidates.open(pool.profile.service), nowMs)
        pool.observe(capacity, nowMs)
        if (isLearning) return emptyList()
        return pool.removeHopeless(capacity, nowMs).map {
            PlacementDecision(it.request, refuse(pool, it.request, it.expected, it.waitedMs, nowMs))
        }
    }

    private fun refuse(
        pool: PoolQueue,
        request: PlacementRequest,
        expected: ExpectedWait,
        waitedMs: Long,
        nowMs: Long,
    ): Placement.Refused {
        val refused = RefusalPolicy.overloaded(pool.returnMs(request, expected, nowMs))
        observer.refused(request, expected, refused, waitedMs)
        return refused
    }
}
