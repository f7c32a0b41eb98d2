package samphirechute.routing.ledger

import samphirechute.routing.UpstreamCapacity
import kotlin.math.abs

/**
 * Slow start: limits the load of one upstream. The limit starts at the announced cold limit. It doubles after as many
 * requests as it admits have completed at the expected latency, so that the upstream proves each step before the next.
 * It falls back to the cold limit on a refusal, a failure or a rise in latency. Owned by [UpstreamLedger].
 */
internal class SlowStartLimit(
    private var capacity: UpstreamCapacity,
) {
    var concurrency = 0
        private set

    /** The most prefill tokens of all running requests together; [Long.MAX_VALUE] when the upstream is warm. */
    var prefillTokens = 0L
        private set

    val isCold: Boolean get() = concurrency < capacity.maxConcurrency || prefillTokens < Long.MAX_VALUE

    /** How much slower than announced the upstream is expected to be. Above 1 only while it is cold. */
    val slowness: Double
        get() =
            when {
                !isCold -> 1.0
                samples < MIN_SAMPLES -> UNKNOWN_SLOWNESS
                else -> fastRatio.coerceIn(1.0, MAX_SLOWNESS)
            }

    private var provenCompletions = 0
    private var provenPrefills = 0
    private var consecutiveSlow = 0
    private var samples = 0
    private var baseline = 1.0
    private var fastRatio = 1.0
    private var slowRatio = 1.0

    init {
        reset()
    }

    /** Returns to the cold limit. Drops the learned baseline too, since the upstream may be on other hardware now. */
    fun reset() {
        concurrency = capacity.coldConcurrency.coerceIn(1, maxOf(1, capacity.maxConcurrency))
        prefillTokens = capacity.coldPrefillTokens
        provenCompletions = 0
        provenPrefills = 0
        consecutiveSlow = 0
        samples = 0
        baseline = 1.0
    }

    fun updateCapacity(next: UpstreamCapacity) {
        if (next == capacity) return
        capacity = next
        concurrency = concurrency.coerceAtMost(maxOf(1, next.maxConcurrency))
    }

    /** Raises the limit to the load that the upstream carries already, which proves that it can. */
    fun raiseToLoad(
        requests: Int,
        tokens: Long,
    ) {
        concurrency = maxOf(concurrency, requests).coerceAtMost(maxOf(1, capacity.maxConcurrency))
        if (isCold) prefillTokens = maxOf(prefillTokens, tokens)
    }

    /**
     * Records a request that completed in [ratio] times the expected latency while the upstream had [running] requests.
     * Returns true when this made the upstream cold.
     */
    fun recordCompletion(
        ratio: Double,
        running: Int,
    ): Boolean {
        updateBaseline(ratio)
        val relative = ratio / baseline
        consecutiveSlow = if (relative > SLOW_RATIO) consecutiveSlow + 1 else 0
        if (consecutiveSlow >= SLOW_SAMPLES) {
            val wasProved = concurrency > capacity.coldConcurrency
            if (wasProved) reset()
            return wasProved
        }
        if (!isCold) return false
        if (relative > EXPECTED_RATIO) {
            provenCompletions = 0
            provenPrefills = 0
            return false
        }
        // A request on an almost idle upstream proves nothing about a higher concurrency. Its prefill still proves the
        // prefill rate, so an upstream with little load can come to accept long prompts.
        if (running * 2 >= concurrency && ++provenCompletions >= concurrency) {
            provenCompletions = 0
            concurrency = (concurrency * 2).coerceAtMost(maxOf(1, capacity.maxConcurrency))
        }
        if (++provenPrefills >= PREFILL_SAMPLES) {
            provenPrefills = 0
            prefillTokens = if (prefillTokens >= capacity.memoryTokens) Long.MAX_VALUE else prefillTokens * 2
        }
        return false
    }

    /**
     * Accepts a latency that stays level for many requests as normal for this upstream, whatever it announced.
     * Otherwise an upstream that announces too high a rate would stay cold forever. The latency counts as level when
     * the fast and the slow moving average agree; they differ while the upstream warms up.
     */
    private fun updateBaseline(ratio: Double) {
        samples++
        if (samples == 1) {
            fastRatio = ratio
            slowRatio = ratio
        }
        fastRatio += FAST_WEIGHT * (ratio - fastRatio)
        slowRatio += SLOW_WEIGHT * (ratio - slowRatio)
        val isLevel = samples >= LEVEL_SAMPLES && abs(fastRatio - slowRatio) <= LEVEL_BAND * slowRatio
        if (isCold && isLevel) baseline = maxOf(1.0, slowRatio)
    }

    private companion object {
        const val EXPECTED_RATIO = 1.25
        const val SLOW_RATIO = 2.5
        const val SLOW_SAMPLES = 4
        const val PREFILL_SAMPLES = 4
        const val FAST_WEIGHT = 0.3
        const val SLOW_WEIGHT = 0.05
        const val MIN_SAMPLES = 3
        const val UNKNOWN_SLOWNESS = 2.0
        const val MAX_SLOWNESS = 5.0
        const val LEVEL_SAMPLES = 48
        const val LEVEL_BAND = 0.05
    }
}
