package samphirechute.state.order

/**
 * Limits a rate and allows bursts. It starts empty: the previous leader may just have used its burst, and the rate must
 * hold across a change of leader.
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
