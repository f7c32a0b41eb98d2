package samphirechute.routing.ledger

import samphirechute.core.PoolName
import samphirechute.core.UpstreamId
import samphirechute.routing.UpstreamReport

/**
 * The upstreams of a failure domain. Applies their reports, keeps each upstream in the pools that it serves, and
 * removes those that have been silent for long. Used by [DomainLedger].
 */
internal class UpstreamCatalog(
    private val upstreams: MutableMap<UpstreamId, UpstreamLedger>,
    private val pools: MutableMap<PoolName, PoolLedger>,
    private val prefixes: PrefixIndex,
    private val limits: LedgerLimits,
) {
    /**
     * Applies a report, which registers the upstream if it is new. Returns an event when the upstream has restarted and
     * is therefore cold.
     */
    fun applyReport(
        report: UpstreamReport,
        isDrained: Boolean,
        isLearning: Boolean,
        nowMs: Long,
    ): LedgerOutput? {
        val known = upstreams[report.upstream]
        val upstream = known ?: UpstreamLedger(report, nowMs, limits).also { register(it, isDrained) }
        val isRestart = report.generation > upstream.report.generation
        val oldPools = upstream.report.pools
        val wasUsable = upstream.isUsable(nowMs)
        val oldCapacity = upstream.report.capacity
        if (known != null && !upstream.applyReport(report, isLearning, nowMs)) return null
        if (known == null) upstream.applyFirstReport(isLearning, nowMs)
        if (isRestart) prefixes.clear(upstream)
        if (oldPools != report.pools) {
            (oldPools - report.pools).forEach { removeFromPool(upstream, it) }
            (report.pools - oldPools).forEach { addToPool(upstream, it) }
        }
        if (upstream.isUsable(nowMs) != wasUsable || oldCapacity != report.capacity) invalidateSummaries(upstream)
        prefixes.applyReport(upstream, report.cache, nowMs)
        if (isLearning) upstream.raiseLimitToLoad()
        updateRank(upstream, nowMs)
        if (!isRestart) return null
        return LedgerOutput.RecordEvent(
            "upstream_cold",
            mapOf("upstream" to upstream.id.value, "cause" to "generation"),
        )
    }

    /** Discards the cached summaries of the pools of an upstream that became usable or unusable. */
    fun invalidateSummaries(upstream: UpstreamLedger) = upstream.report.pools.forEach { pools[it]?.invalidateSummary() }

    /** Updates the rank of an upstream in its pools. Must be called after each change of its load or state. */
    fun updateRank(
        upstream: UpstreamLedger,
        nowMs: Long,
    ) {
        val isOpen = upstream.isUsable(nowMs) && upstream.running < upstream.limit.concurrency
        val rankMs = if (isOpen) UpstreamRanking.rankOf(upstream, nowMs) else UpstreamRanking.UNRANKED
        if (rankMs == upstream.rankMs) return
        for (name in upstream.report.pools) pools[name]?.ranking?.remove(upstream)
        upstream.rankMs = rankMs
        if (isOpen) for (name in upstream.report.pools) pools[name]?.ranking?.add(upstream)
    }

    /** Removes upstreams that have been silent for long. Until then, an upstream that reports again keeps its limit. */
    fun removeSilent(nowMs: Long) {
        val gone = upstreams.values.filter { nowMs - it.reportedMs > FORGET_MS && it.leaseCount == 0 }
        for (upstream in gone) {
            upstreams -= upstream.id
            prefixes.clear(upstream)
            upstream.report.pools.forEach { removeFromPool(upstream, it) }
        }
    }

    private fun register(
        upstream: UpstreamLedger,
        isDrained: Boolean,
    ) {
        upstream.isDrained = isDrained
        upstreams[upstream.id] = upstream
        upstream.report.pools.forEach { addToPool(upstream, it) }
    }

    private fun addToPool(
        upstream: UpstreamLedger,
        name: PoolName,
    ) {
        val pool = pools.getOrPut(name) { PoolLedger(name, prefixes, limits) }
        pool.upstreams += upstream
        pool.invalidateSummary()
        if (upstream.rankMs != UpstreamRanking.UNRANKED) pool.ranking.add(upstream)
    }

    private fun removeFromPool(
        upstream: UpstreamLedger,
        name: PoolName,
    ) {
        val pool = pools[name] ?: return
        pool.ranking.remove(upstream)
        pool.upstreams -= upstream
        pool.invalidateSummary()
        if (pool.upstreams.isEmpty() && !pool.isWaiting) pools -= name
    }

    private companion object {
        const val FORGET_MS = 60_000L
    }
}
