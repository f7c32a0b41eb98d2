package samphirechute.routing.placing

import samphirechute.core.RequestId

/** The requests of one service that wait for room, and how fast room has become free lately. */
internal class PoolQueue(
    var profile: PoolProfile,
) {
    private val waiting = LinkedHashMap<RequestId, Waiting>()
    private val endsMs = ArrayDeque<Long>()

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

    /** Urgent requests first, and in order of arrival. */
    fun inOrder(): List<PlacementRequest> =
        waiting.values.sortedWith(compareBy({ it.request.priority }, { it.sinceMs })).map { it.request }

    /** True when a waiting request of the same size goes before [request]. */
    fun hasBefore(request: PlacementRequest) =
        waiting.values.any {
            it.request.priority <= request.priority && it.request.promptTokens <= request.promptTokens
        }

    fun takeExpired(nowMs: Long): List<PlacementRequest> {
        val expired = waiting.values.filter { nowMs >= it.untilMs }.map { it.request }
        expired.forEach { waiting.remove(it.request) }
        return expired
    }

    fun noteEnd(nowMs: Long) {
        endsMs += nowMs
        forgetOld(nowMs)
    }

    /** How long a request waits if room becomes free as fast as it did within the last seconds. */
    fun expectedWaitMs(
        request: PlacementRequest,
        nowMs: Long,
    ): Long {
        forgetOld(nowMs)
        val before = waiting.values.count { it.request.priority <= request.priority }
        if (before == 0) return 0
        return (before + 1) * WINDOW_MS / maxOf(1, endsMs.size)
    }

    private fun forgetOld(nowMs: Long) {
        while (endsMs.isNotEmpty() && endsMs.first() < nowMs - WINDOW_MS) endsMs.removeFirst()
    }

    private class Waiting(
        val request: PlacementRequest,
        val sinceMs: Long,
        val untilMs: Long,
    )

    private companion object {
        const val WINDOW_MS = 2_000L
    }
}
