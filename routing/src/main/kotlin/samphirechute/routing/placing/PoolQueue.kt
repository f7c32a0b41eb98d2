package samphirechute.routing.placing

import samphirechute.core.RequestId

/**
 * The queue of one service in a [Placer]: the requests that wait for capacity, their order, and how long a new one would wait.
 */
internal interface PoolQueue {
    var profile: PoolProfile

    val size: Int

    fun add(
        request: PlacementRequest,
        untilMs: Long,
        nowMs: Long,
    )

    fun remove(request: RequestId): Boolean

    /** Returns how long the request has been in the queue, or 0. */
    fun waitedMs(
        request: RequestId,
        nowMs: Long,
    ): Long

    /** Returns the waiting requests in the order in which they are tried. */
    fun inOrder(): List<PlacementRequest>

    /** Returns whether [request] may not be placed before the waiting requests have been tried. */
    fun hasPrecedingRequest(
        request: PlacementRequest,
        nowMs: Long,
    ): Boolean

    /** Returns whether [request], which could not be placed yet, keeps others in the queue behind it. */
    fun isBlocking(
        request: PlacementRequest,
        nowMs: Long,
    ): Boolean

    /** Returns whether [later] is one of those that [first], which is blocking, keeps in the queue. */
    fun isBlocked(
        later: PlacementRequest,
        first: PlacementRequest,
    ): Boolean

    /** Returns the requests that have waited for as long as they may. */
    fun expired(nowMs: Long): List<PlacementRequest>

    /** Removes and returns the requests that cannot be started before their callers give up. */
    fun removeHopeless(
        capacity: PoolCapacity,
        nowMs: Long,
    ): List<HopelessRequest>

    /** Records that a request was granted, from this queue or without waiting. */
    fun recordGrant(
        request: PlacementRequest,
        nowMs: Long,
    )

    /** Records that a request of the service has ended [heldMs] after its grant. */
    fun recordEnd(
        heldMs: Long,
        nowMs: Long,
    )

    /** Takes note of the rate at which the queue should drain, while it is looked at. */
    fun observe(
        capacity: PoolCapacity,
        nowMs: Long,
    )

    /** Returns how long [request] would wait, if it joined the queue now. */
    fun expectedWait(
        request: PlacementRequest,
        capacity: PoolCapacity,
        nowMs: Long,
    ): ExpectedWait

    /** Returns the longest expected wait with which [request] may join the queue; its caller gives up after [maxWaitMs]. */
    fun longestExpectedMs(
        request: PlacementRequest,
        maxWaitMs: Long,
    ): Long

    /** Returns the number of waiting requests that go before [request]. */
    fun countPreceding(request: PlacementRequest): Int

    /** Returns when the caller of a request that is refused for its [expected] wait may come back. */
    fun returnMs(
        request: PlacementRequest,
        expected: ExpectedWait,
        nowMs: Long,
    ): Long

    /**
     * Returns the time after which a caller may come back that was refused because of limits of upstreams: after [waitMs]
     * at the earliest, and [intervalMs] after the caller that was refused before it.
     */
    fun promiseReturn(
        waitMs: Long,
        intervalMs: Long,
        nowMs: Long,
    ): Long
}
