package samphirechute.routing.limit

import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/**
 * Spaces the requests to one upstream by an interval. Requests that an idle upstream has not got may follow within a
 * burst, which is at most half a second's worth of requests, and at least one.
 */
internal class RequestPacer(
    /** True if other placers send to the same upstream, each with a pacer of its own. */
    val isShared: Boolean,
    firstMs: Double,
    intervalMs: Double,
) {
    /** When the next request would be due if there were no bursts. */
    private var dueMs = firstMs + burstMs(intervalMs)

    /** Returns the time until the next request may be sent, or 0. */
    fun waitMs(
        nowMs: Long,
        intervalMs: Double,
    ): Long = ceil(max(0.0, min(dueMs - burstMs(intervalMs) - nowMs, intervalMs + MAX_DEBT_MS))).toLong()

    /** Counts a request, whether or not it was due. */
    fun charge(
        nowMs: Long,
        intervalMs: Double,
    ) {
        dueMs = min(max(dueMs, nowMs.toDouble()) + intervalMs, nowMs + intervalMs + MAX_DEBT_MS)
    }

    /** Drops what is owed at a longer interval, so that it does not hold up requests at this one. */
    fun shorten(
        nowMs: Long,
        intervalMs: Double,
    ) {
        dueMs = min(dueMs, nowMs + intervalMs + burstMs(intervalMs))
    }

    private fun burstMs(intervalMs: Double) = max(0.0, BURST_MS - intervalMs)

    private companion object {
        const val BURST_MS = 500.0

        /** Requests beyond the limit, which other placers have sent, hold up later ones for this long at most. */
        const val MAX_DEBT_MS = 4_000.0
    }
}
