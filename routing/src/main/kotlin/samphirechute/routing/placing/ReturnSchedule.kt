package samphirechute.routing.placing

import java.util.TreeMap
import kotlin.math.max

/**
 * Gives refused callers the times at which they may come back: in order of priority, and spread over the time in which capacity
 * becomes free, so that they do not all return at one moment.
 */
internal class ReturnSchedule {
    /** The last time promised to callers of each priority. */
    private val promisedMs = TreeMap<Int, Long>()

    /**
     * Returns the time after which a caller with [priority] may come back, whose request would have waited for [waitMs] and
     * takes the upstreams [intervalMs].
     */
    fun promise(
        priority: Int,
        waitMs: Long,
        intervalMs: Long,
        nowMs: Long,
    ): Long {
        promisedMs.values.removeIf { it <= nowMs }
        val moreUrgentMs = promisedMs.headMap(priority, false).values.maxOrNull()
        val stepMs = max(intervalMs, SHORTEST_INTERVAL_MS)
        val earliestMs = max(nowMs + max(waitMs, SHORTEST_RETRY_MS), (moreUrgentMs ?: 0) + stepMs)
        val nextMs = max(earliestMs, (promisedMs[priority] ?: 0) + stepMs)
        val promised = if (nextMs <= nowMs + LONGEST_RETRY_MS) nextMs else spread(priority, stepMs, nowMs)
        promisedMs[priority] = promised
        return promised - nowMs
    }

    /**
     * Promises a time when the work ahead takes longer than any caller is sent away for. Callers go around in the last part of
     * the longest time, the most urgent ones before the others.
     */
    private fun spread(
        priority: Int,
        stepMs: Long,
        nowMs: Long,
    ): Long {
        val fromMs = nowMs + if (promisedMs.headMap(priority, false).isEmpty()) SPREAD_MS else LATE_SPREAD_MS
        val toMs = nowMs + if (promisedMs.tailMap(priority, false).isEmpty()) LONGEST_RETRY_MS else LATE_SPREAD_MS
        val nextMs = (promisedMs[priority] ?: 0) + stepMs
        return if (nextMs in fromMs until toMs) nextMs else fromMs
    }

    private companion object {
        const val SHORTEST_RETRY_MS = 300L
        const val LONGEST_RETRY_MS = 3_000L

        /** Callers that come back at one moment are tried in one tick of the queue. */
        const val SHORTEST_INTERVAL_MS = 20L
        const val SPREAD_MS = 1_000L
        const val LATE_SPREAD_MS = 2_000L
    }
}
