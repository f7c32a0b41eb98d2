package samphirechute.state.sim

import samphirechute.core.time.VirtualTimer

/** A simulated process that can be paused and restarted. Its clock may run at a different rate or jump forward. */
class SimProcess(
    private val timer: VirtualTimer,
    private val clockRate: Double = 1.0,
    private val clockBaseMs: Long = 0,
) {
    private var jumpMs = 0L
    var isPaused = false
        private set
    private val pendingActions = ArrayDeque<() -> Unit>()

    var isUp = true
        private set
    var generation = 0
        private set

    fun nowMs() = clockBaseMs + jumpMs + (timer.nowMs() * clockRate).toLong()

    fun jumpClock(byMs: Long) {
        jumpMs += byMs
    }

    fun kill() {
        isUp = false
        generation++
        pendingActions.clear()
    }

    fun start() {
        isUp = true
        isPaused = false
    }

    fun pause() {
        isPaused = true
    }

    fun resume() {
        isPaused = false
        while (pendingActions.isNotEmpty() && !isPaused) pendingActions.removeFirst()()
    }

    /** Runs [action] now, or after the current pause. It is dropped if the process is down or is killed before. */
    fun run(action: () -> Unit) {
        when {
            !isUp -> Unit
            isPaused -> pendingActions += action
            else -> action()
        }
    }

    /** Runs [action] periodically until the process is killed. Periods during a pause are skipped. */
    fun every(
        periodMs: Long,
        action: () -> Unit,
    ) {
        val scheduledGeneration = generation
        timer.after(periodMs) {
            if (scheduledGeneration != generation) return@after
            if (!isPaused) action()
            every(periodMs, action)
        }
    }
}
