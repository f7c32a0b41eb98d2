package samphirechute.net

import samphirechute.core.log.KeyValueLog

/**
 * Logs when the loop runs late, which delays every answer, vote and time-out of the process alike. [load] names what the
 * process has had to do, such as requests and open connections, each as a running total.
 */
class LoopWatch(
    private val loop: EventLoop,
    private val load: () -> Map<String, Long>,
) {
    private var lastMs = 0L
    private var lastLoad = emptyMap<String, Long>()
    private var lateMs = 0L

    fun start() {
        lastMs = loop.timer.nowMs()
        loop.timer.every(PROBE_MS) { probe() }
        loop.timer.every(REPORT_MS) { report() }
    }

    private fun probe() {
        val nowMs = loop.timer.nowMs()
        lateMs = maxOf(lateMs, nowMs - lastMs - PROBE_MS)
        lastMs = nowMs
    }

    private fun report() {
        val current = load()
        if (lateMs >= LATE_MS) {
            val change = current.mapValues { (name, value) -> value - (lastLoad[name] ?: 0) }
            log.event("loop_late", mapOf("late_ms" to lateMs) + change)
        }
        lateMs = 0
        lastLoad = current
    }

    private companion object {
        const val PROBE_MS = 100L
        const val REPORT_MS = 1_000L

        /** A coordinator that answers later than this is taken for silent. */
        const val LATE_MS = 100L
        val log = KeyValueLog("loop")
    }
}
