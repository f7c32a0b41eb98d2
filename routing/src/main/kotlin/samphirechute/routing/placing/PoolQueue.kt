package samphirechute.routing.placing

import samphirechute.core.RequestId

/**
 * The queue of one service in a [Placer]: requests that wait for capacity, and the recent ends of requests, from which
 * it estimates how long a new one would wait.
 */
internal class PoolQueue(
    var profile: PoolProfile,
) {
    private val waiting = LinkedHashMap<RequestId, Waiting>()
    private val endsMs = ArrayDeque<Long>()
    private var promisedMs = 0L

    val size: Int get() = waiting.size

    fun add(
        request: PlacementRequest,
        untilMs: Long,
        nowMs: Long,
    ) {
        waiting[request.request] = Waiting(request, nowMs, untilMs)
    }

    fun waitedMs(
        request: RequestId,
        nowMs: Long,
    ): Long = waiting[request]?.let { nowMs - it.sinceMs } ?: 0

    fun remove(request: RequestId) = waiting.remove(request) != null

    /**
     * Returns the requests whose answer has begun, then the others; each by priority, and in order of arrival within a
     * priority. A caller gives up a stream that pauses much sooner than one that has not begun, and loses what it has.
     */
    fun inOrder(): List<PlacementRequest> =
        waiting.values
            .sortedWith(compareBy({ !it.request.hasBegun }, { it.request.priority }, { it.sinceMs }))
            .map { it.request }

    /** Returns whether a waiting request goes before [request] in the order and has a prompt no longer. */
    fun hasPrecedingRequest(request: PlacementRequest) =
        waiting.values.any { precedes(it.request, request) && it.request.promptTokens <= request.promptTokens }

    /** Removes and returns the requests that have waited for as long as they may. */
    fun removeExpired(nowMs: Long): List<PlacementRequest> {
        val expired = waiting.values.filter { nowMs >= it.untilMs }.map { it.request }
        expired.forEach { waiting.remove(it.request) }
        return expired
    }

    /** Records that a running request of the service has ended. */
    fun recordEnd(nowMs: Long) {
        endsMs += nowMs
        dropOldEnds(nowMs)
    }

    /** Returns the time a request will wait if requests keep ending at the rate of the last [WINDOW_MS]. */
    fun expectedWaitMs(
        request: PlacementRequest,
        nowMs: Long,
    ): Long {
        dropOldEnds(nowMs)
        val before = countPreceding(request)
        if (before == 0) return 0
        return (before + 1) * WINDOW_MS / maxOf(1, endsMs.size)
    }

    /** Returns the number of waiting requests that go before [request]. */
    fun countPreceding(request: PlacementRequest) = waiting.values.count { precedes(it.request, request) }

    private fun precedes(
        other: PlacementRequest,
        request: PlacementRequest,
    ) = if (other.hasBegun == request.hasBegun) other.priority <= request.priority else other.hasBegun

    /**
     * Returns the time after which a refused caller may come back: after [waitMs] at the earliest, and [intervalMs]
     * after the caller that was refused before it.
     */
    fun promiseReturn(
        waitMs: Long,
        intervalMs: Long,
        nowMs: Long,
    ): Long {
        promisedMs = minOf(maxOf(promisedMs + intervalMs, nowMs + waitMs), nowMs + LONGEST_RETURN_MS)
        return promisedMs - nowMs
    }

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
