package samphirechute.routing.ledger

import samphirechute.routing.UpstreamCapacity
import kotlin.math.abs

/**
 * The load that one upstream may be given. It starts at the announced cold limit and doubles after as many requests
 * completed at the expected latency as the limit admits, so that each step is proved by the one before. It falls back
 * to the cold limit on a refusal, a failure or a rise of latency.
 */
internal class SlowStartLimit(
    private var capacity: UpstreamCapacity,
) {
    var concurrency = 0
        private set

    /** Bound on the prefill of all requests given and not completed; [Long.MAX_VALUE] when warm. */
    var prefillTokens = 0L
        private set

    val isCold: Boolean get() = concurrency < capacity.maxConcurrency || prefillTokens < Long.MAX_VALUE

    /** How much slower than announced the upstream is likely to be: what was seen lately while it is cold. */
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

    /** Back to the cold limit. The learned baseline is dropped too: it may belong to other hardware. */
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

    /** Work that the upstream carries already, given by an earlier coordinator, is evidence that it can. */
    fun raiseToLoad(
        requests: Int,
        tokens: Long,
    ) {
        concurrency = maxOf(concurrency, requests).coerceAtMost(maxOf(1, capacity.maxConcurrency))
        if (isCold) prefillTokens = maxOf(prefillTokens, tokens)
    }

    /**
     * A request completed in [ratio] times the expected latency while the upstream had [running] requests. Returns
     * true when this made the upstream cold.
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
        // A request beside an almost idle upstream proves nothing about a higher concurrency, but its prefill does
        // show the rate, so that an upstream with little to do still comes to take long prompts.
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
     * A latency that stays level for many requests is that of this upstream, whatever was announced; otherwise an
     * upstream that announces too high a rate would stay cold for ever. While it warms up the two averages differ.
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
