package samphirechute.core.time

/** A monotonic clock. Its zero is arbitrary, so values are comparable only within one process. */
fun interface Clock {
    fun nowMs(): Long
}
