package samphirechute.core.time

/**
 * Runs an action periodically while [isNeeded] returns true, and sets no timer otherwise. With many idle processes on
 * one machine, a timer that always runs would wake up each of them for nothing.
 */
class OnDemandTimer(
    private val timer: TimerService,
    private val periodMs: Long,
    private val isNeeded: () -> Boolean,
    private val action: () -> Unit,
) {
    private var isArmed = false

    /** Starts the timer if the action is needed. Call it after each change that may make [isNeeded] true. */
    fun arm() {
        if (isArmed || !isNeeded()) return
        isArmed = true
        timer.after(periodMs) {
            isArmed = false
            try {
                action()
            } finally {
                arm()
            }
        }
    }
}
