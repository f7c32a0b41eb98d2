package samphirechute.core.time

/** The clock of a process and its timers. Actions run on the event loop. */
interface TimerService : Clock {
    /** Runs [action] once after [delayMs], unless the subscription is cancelled first. */
    fun after(
        delayMs: Long,
        action: () -> Unit,
    ): Subscription

    /** Runs [action] every [periodMs], the first time after one period. */
    fun every(
        periodMs: Long,
        action: () -> Unit,
    ): Subscription
}

/** A timer that can be stopped. Cancelling twice, or after the action has run, has no effect. */
fun interface Subscription {
    fun cancel()
}
