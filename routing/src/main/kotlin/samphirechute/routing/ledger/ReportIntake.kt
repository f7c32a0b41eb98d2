package samphirechute.routing.ledger

import samphirechute.core.PoolName
import samphirechute.core.UpstreamId
import samphirechute.routing.UpstreamReport

/** Takes in the reports of upstreams, and keeps each in the pools that it serves. */
internal class ReportIntake(
    private val upstreams: MutableMap<UpstreamId, UpstreamLedger>,
    private val pools: MutableMap<PoolName, PoolLedger>,
    private val prefixes: PrefixIndex,
    private val limits: LedgerLimits,
) {
    /** Returns a note when the upstream became cold by a new generation. */
    fun take(
        report: UpstreamReport,
        isDrained: Boolean,
        isLearning: Boolean,
        nowMs: Long,
    ): LedgerOutput? {
        val known = upstreams[report.upstream]
        val upstream = known ?: UpstreamLedger(report, nowMs, limits).also { enter(it, isDrained) }
        val isRestart = report.generation > upstream.report.generation
        val oldPools = upstream.report.pools
        val wasUsable = upstream.isUsable(nowMs)
        val oldCapacity = upstream.report.capacity
        if (known != null && !upstream.take(report, isLearning, nowMs)) return null
        if (known == null) upstream.correct(isLearning, nowMs)
        if (isRestart) prefixes.clear(upstream)
        if (oldPools != report.pools) {
            (oldPools - report.pools).forEach { leave(upstream, it) }
            (report.pools - oldPools).forEach { join(upstream, it) }
        }
        if (upstream.isUsable(nowMs) != wasUsable || oldCapacity != report.capacity) changed(upstream)
        prefixes.take(upstream, report.cache, nowMs)
        if (isLearning) upstream.observeLoad()
        place(upstream, nowMs)
        if (!isRestart) return null
        return LedgerOutput.RecordEvent(
            "upstream_cold",
            mapOf("upstream" to upstream.id.value, "cause" to "generation"),
        )
    }

    /** Tells the pools of an upstream that it came into service or went out of it. */
    fun changed(upstream: UpstreamLedger) = upstream.report.pools.forEach { pools[it]?.changed() }

    /** Brings the rank of an upstream in its pools up to date; needed after each change of its load or state. */
    fun place(
        upstream: UpstreamLedger,
        nowMs: Long,
    ) {
        val isOpen = upstream.isUsable(nowMs) && upstream.running < upstream.limit.concurrency
        val rankMs = if (isOpen) UpstreamRank.rankOf(upstream, nowMs) else UpstreamRank.CLOSED
        if (rankMs == upstream.rankMs) return
        for (name in upstream.report.pools) pools[name]?.rank?.remove(upstream)
        upstream.rankMs = rankMs
        if (isOpen) for (name in upstream.report.pools) pools[name]?.rank?.add(upstream)
    }

    /** Forgets upstreams that have been silent for long; until then a late report finds their limits. */
    fun forgetSilent(nowMs: Long) {
        val gone = upstreams.values.filter { nowMs - it.reportedMs > FORGET_MS && it.leaseCount == 0 }
        for (upstream in gone) {
            upstreams -= upstream.id
            prefixes.clear(upstream)
            upstream.report.pools.forEach { leave(upstream, it) }
        }
    }

    private fun enter(
        upstream: UpstreamLedger,
        isDrained: Boolean,
    ) {
        upstream.isDrained = isDrained
        upstreams[upstream.id] = upstream
        upstream.report.pools.forEach { join(upstream, it) }
    }

    private fun join(
        upstream: UpstreamLedger,
        name: PoolName,
    ) {
        val pool = pools.getOrPut(name) { PoolLedger(name, prefixes, limits) }
        pool.upstreams += upstream
        pool.changed()
        if (upstream.rankMs != UpstreamRank.CLOSED) pool.rank.add(upstream)
    }

    private fun leave(
        upstream: UpstreamLedger,
        name: PoolName,
    ) {
        val pool = pools[name] ?: return
        pool.rank.remove(upstream)
        pool.upstreams -= upstream
        pool.changed()
        if (pool.upstreams.isEmpty() && !pool.isWaiting) pools -= name
    }

    private companion object {
        const val FORGET_MS = 60_000L
    }
}
