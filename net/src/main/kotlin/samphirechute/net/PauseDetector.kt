package samphirechute.net

import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.TimerService

/**
 * Notices that the process has not run for some time, because its machine was frozen or suspended or gave it no processor
 * time. What it reads right after that may have waited in a socket all the while, so nobody can tell how old it is.
 *
 * The monotonic clock does not count a suspension, so the time of day is compared too. A jump of the time of day looks
 * the same.
 */
class PauseDetector(
    private val timer: TimerService,
    private val wallMs: () -> Long = System::currentTimeMillis,
) {
    private var lastMs = timer.nowMs()
    private var lastWallMs = wallMs()
    private var lateUntilMs = Long.MIN_VALUE

    fun start() {
        timer.every(PROBE_INTERVAL_MS) { observe() }
    }

    /** Returns whether what is read now may have arrived before or during a pause that has just ended. */
    fun mayReadLate(): Boolean {
        observe()
        return timer.nowMs() < lateUntilMs
    }

    private fun observe() {
        val nowMs = timer.nowMs()
        val currentWallMs = wallMs()
        val pausedMs = maxOf(nowMs - lastMs, currentWallMs - lastWallMs)
        lastMs = nowMs
        lastWallMs = currentWallMs
        if (pausedMs < PAUSE_MS) return
        lateUntilMs = nowMs + LATE_READS_MS
        log.event("process_paused", mapOf("paused_ms" to pausedMs, "late_reads_ms" to LATE_READS_MS))
    }

    private companion object {
        const val PROBE_INTERVAL_MS = 100L

        /** Shorter than the second after which callers of a control instance call another one. */
        const val PAUSE_MS = 500L

        /** Accepting the connections that waited and reading from them takes several turns of the loop. */
        const val LATE_READS_MS = 250L
        val log = KeyValueLog("loop")
    }
}
