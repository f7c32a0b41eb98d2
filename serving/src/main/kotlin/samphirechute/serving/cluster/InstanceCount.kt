package samphirechute.serving.cluster

import samphirechute.core.time.Clock

/**
 * The number of instances that share a bound, from the counts that control instances report. A count that is too low
 * makes every instance take too large a share, so a higher report is believed at once, and a lower one only after no
 * higher one has come for [KEEP_MS]. Without reports the count stays.
 */
internal class InstanceCount(
    private val clock: Clock,
) {
    /** The number of instances, at least 1. */
    var value = 1
        private set

    /** The start of the time in which all reports were lower, or null if the last one was not. */
    private var lowerSinceMs: Long? = null
    private var lastLowerMs = 0L

    /** The highest report since [lowerSinceMs]. */
    private var highestLower = 1

    /**
     * Takes in a report. One of an instance without contact to a leader ([isCurrent] is false) can only raise the
     * count: other instances may follow control instances that it cannot reach.
     */
    fun record(
        reported: Int,
        isCurrent: Boolean,
    ) {
        when {
            reported >= value -> {
                value = reported
                lowerSinceMs = null
            }

            isCurrent -> {
                recordLower(reported)
            }
        }
    }

    private fun recordLower(reported: Int) {
        val nowMs = clock.nowMs()
        val sinceMs = lowerSinceMs?.takeIf { nowMs - lastLowerMs <= LONGEST_GAP_MS }
        lastLowerMs = nowMs
        if (sinceMs == null) {
            lowerSinceMs = nowMs
            highestLower = maxOf(1, reported)
            return
        }
        highestLower = maxOf(highestLower, reported)
        if (nowMs - sinceMs < KEEP_MS) return
        value = highestLower
        lowerSinceMs = null
    }

    companion object {
        /** Longer than all control instances take to restart one after another and to be followed again. */
        const val KEEP_MS = 60_000L

        /** Reports come about once a second; after a longer gap the time in which lower ones came starts anew. */
        const val LONGEST_GAP_MS = 5_000L
    }
}
