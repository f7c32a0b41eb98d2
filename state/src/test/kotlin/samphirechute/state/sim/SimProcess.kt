package samphirechute.state.sim

import samphirechute.core.time.VirtualTimer

/** One process with its own clock, which may run at another rate or jump forward, and may be paused or restarted. */
class SimProcess(
    private val timer: VirtualTimer,
    private val clockRate: Double = 1.0,
    private val clockBaseMs: Long = 0,
) {
    private var jumpMs = 0L
    var isPaused = false
        private set
    private val waiting = ArrayDeque<() -> Unit>()

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
        waiting.clear()
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
        while (waiting.isNotEmpty() && !isPaused) waiting.removeFirst()()
    }

    /** Runs [action] now, or after the pause, unless the process is killed before. */
    fun run(action: () -> Unit) {
        when {
            !isUp -> Unit
            isPaused -> waiting += action
            else -> action()
        }
    }

    fun every(
        periodMs: Long,
        action: () -> Unit,
    ) {
        val life = generation
        timer.after(periodMs) {
            if (life != generation) return@after
            if (!isPaused) action()
            every(periodMs, action)
        }
    }
}
