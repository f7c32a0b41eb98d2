package samphirechute.core.time

/**
 * Runs an action periodically for as long as it is wanted. It answers the load of many idle processes on one machine: a
 * timer that runs all the time wakes each of them up for nothing.
 */
class OnDemandTimer(
    private val timer: TimerService,
    private val periodMs: Long,
    private val isWanted: () -> Boolean,
    private val action: () -> Unit,
) {
    private var isArmed = false

    /** Call after each change that may make the action wanted. */
    fun arm() {
        if (isArmed || !isWanted()) return
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
