package samphirechute.core.timeline

/**
 * Issues hybrid logical timestamps. A timestamp is higher than every earlier one of this process and than every
 * one it has received in a message, even when the wall clock steps back.
 */
class HybridClock(
    private val wallClockMs: () -> Long = System::currentTimeMillis,
) {
    private var last = HybridTimestamp(0, 0)

    fun next(): HybridTimestamp {
        val wallMs = wallClockMs()
        last = if (wallMs > last.wallMs) HybridTimestamp(wallMs, 0) else last.copy(counter = last.counter + 1)
        return last
    }

    /** Takes note of a timestamp received from another process. */
    fun observe(received: HybridTimestamp) {
        if (received > last && received.wallMs <= wallClockMs() + MAX_SKEW_MS) last = received
    }

    private companion object {
        /** A peer whose clock is further ahead is not followed; one wrong clock would move all others. */
        const val MAX_SKEW_MS = 60_000L
    }
}
