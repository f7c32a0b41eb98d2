package samphirechute.routing.ledger

/**
 * Totals over the upstreams of a pool, cached so that the time of a decision does not grow with the number of
 * upstreams. They change slowly and are computed again only when the upstreams or their states change, or after
 * [MAX_AGE_MS].
 */
internal class PoolSummary(
    upstreams: List<UpstreamLedger>,
    private val atMs: Long,
) {
    val usable = upstreams.count { it.isUsable(atMs) }
    val serving = upstreams.count { it.isServing(atMs) }
    val leaving = upstreams.count { it.isServing(atMs) && (it.isDrained || it.report.isLeaving) }
    val areEngines = upstreams.firstOrNull()?.isEngine == true
    val largestMemory = upstreams.maxOfOrNull { it.report.capacity.memoryTokens } ?: Long.MAX_VALUE
    val usableMemory = upstreams.sumOf { if (it.isUsable(atMs)) it.report.capacity.memoryTokens else 0L }

    /** The prefill rate of all usable engines together: the announced rate, reduced for cold engines. */
    val tokensPerMs = upstreams.sumOf { if (it.isUsable(atMs)) rateOf(it) else 0.0 } / MS_PER_SECOND

    fun isStale(nowMs: Long) = nowMs - atMs >= MAX_AGE_MS

    private fun rateOf(upstream: UpstreamLedger): Double {
        val capacity = upstream.report.capacity
        // A request of an application counts as one token.
        if (!upstream.isEngine) return upstream.limit.concurrency * MS_PER_SECOND / maxOf(1.0, upstream.firstByteMs)
        val part = upstream.limit.concurrency.toDouble() / maxOf(1, capacity.maxConcurrency)
        return capacity.prefillTokensPerSecond * minOf(1.0, part) / upstream.limit.slowness
    }

    private companion object {
        const val MAX_AGE_MS = 100L
        const val MS_PER_SECOND = 1_000.0
    }
}
