package samphirechute.core.timeline

/**
 * A hybrid logical clock, owned by [EventRing]. Each timestamp is higher than all earlier ones of this process and, up
 * to a maximum skew, than all timestamps received in messages, even if the wall clock steps back.
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

    /** Moves the clock past a timestamp [received] from another process, unless that is too far in the future. */
    fun observe(received: HybridTimestamp) {
        if (received > last && received.wallMs <= wallClockMs() + MAX_SKEW_MS) last = received
    }

    private companion object {
        /** Timestamps further ahead of the wall clock are ignored; otherwise one wrong clock would move all others. */
        const val MAX_SKEW_MS = 60_000L
    }
}
