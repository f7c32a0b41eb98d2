package samphirechute.state.order

/**
 * Limits a rate with a burst. It starts empty: the leader before may just have spent its burst, and the rate holds
 * over a change of leader too.
 */
internal class TokenBucket(
    private val perMinute: Double,
    private val burst: Double,
    private var lastMs: Long,
) {
    private var tokens = 0.0

    fun tryAcquire(nowMs: Long): Boolean {
        tokens = minOf(burst, tokens + (nowMs - lastMs).coerceAtLeast(0) * perMinute / MS_PER_MINUTE)
        lastMs = nowMs
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    private companion object {
        const val MS_PER_MINUTE = 60_000.0
    }
}
