package samphirechute.net

import samphirechute.core.log.KeyValueLog

/**
 * Logs "loop_late" when the event loop falls behind, which delays every response, vote and timeout of the process.
 * [counters] returns running totals of the work of the process, such as requests and connections; the log line shows by
 * how much each grew since the last check, once per second.
 */
class LoopLagMonitor(
    private val loop: EventLoop,
    private val counters: () -> Map<String, Long>,
) {
    private var lastProbeMs = 0L
    private var lastCounters = emptyMap<String, Long>()
    private var maxDelayMs = 0L

    fun start() {
        lastProbeMs = loop.timer.nowMs()
        loop.timer.every(PROBE_INTERVAL_MS) { measureDelay() }
        loop.timer.every(LOG_INTERVAL_MS) { logDelay() }
    }

    private fun measureDelay() {
        val nowMs = loop.timer.nowMs()
        maxDelayMs = maxOf(maxDelayMs, nowMs - lastProbeMs - PROBE_INTERVAL_MS)
        lastProbeMs = nowMs
    }

    private fun logDelay() {
        val current = counters()
        if (maxDelayMs >= LOG_THRESHOLD_MS) {
            val change = current.mapValues { (name, value) -> value - (lastCounters[name] ?: 0) }
            log.event("loop_late", mapOf("late_ms" to maxDelayMs) + change)
        }
        maxDelayMs = 0
        lastCounters = current
    }

    private companion object {
        const val PROBE_INTERVAL_MS = 100L
        const val LOG_INTERVAL_MS = 1_000L

        /** A coordinator that answers later than this is considered silent. */
        const val LOG_THRESHOLD_MS = 100L
        val log = KeyValueLog("loop")
    }
}
