package samphirechute.routing.ledger

import samphirechute.core.PoolName
import samphirechute.core.UpstreamId
import samphirechute.routing.Grant
import samphirechute.routing.GrantKey
import samphirechute.routing.PoolDigest

/**
 * The scheduler of a failure domain, run by its coordinator. It accounts for the limits, load and memory of each
 * upstream, the grants on them and the waiting requests, and decides which request runs where and when, and which is
 * refused.
 *
 * A [LedgerInput.GrantRequested] that yields neither [LedgerOutput.Granted] nor [LedgerOutput.Refused] for its key is
 * queued; one of the two follows in a later output. The ledger does no I/O and has no clock: the caller passes in
 * monotonic times of this instance and executes the outputs.
 */
class DomainLedger(
    private val limits: LedgerLimits = LedgerLimits(),
) {
    private val upstreams = HashMap<UpstreamId, UpstreamLedger>()
    private val pools = HashMap<PoolName, PoolLedger>()
    private val prefixes = PrefixIndex()
    private val grants = GrantTable(limits)
    private val catalog = UpstreamCatalog(upstreams, pools, prefixes, limits)
    private val leases = GrantLeases(grants, upstreams, prefixes, catalog::updateRank)

    private val epoch = EpochState(limits)
    private val allocator = GrantAllocator(pools, grants, leases, prefixes, epoch, limits)

    private var drained = emptySet<UpstreamId>()
    private var lastSweepMs = Long.MIN_VALUE / 2

    /** Handles one event and returns the outputs to execute, in order. */
    fun handle(
        input: LedgerInput,
        nowMs: Long,
    ): List<LedgerOutput> {
        val out = ArrayList<LedgerOutput>(2)
        when (input) {
            is LedgerInput.EpochBegan -> beginEpoch(input.epoch, nowMs)
            is LedgerInput.EpochEnded -> endEpoch(out, nowMs)
            is LedgerInput.UpstreamReported -> applyReport(input, out, nowMs)
            is LedgerInput.GrantRequested -> allocator.requestGrant(input.request, out, nowMs)
            is LedgerInput.RequestWithdrawn -> withdraw(input.key, out, nowMs)
            is LedgerInput.GrantReleased -> release(input, out, nowMs)
            is LedgerInput.GrantsRenewed -> renew(input, out, nowMs)
            is LedgerInput.DrainsChanged -> changeDrains(input, out, nowMs)
            is LedgerInput.Ticked -> tick(out, nowMs)
        }
        return out
    }

    /** The summary of each pool that other failure domains use to send requests here. */
    fun digest(nowMs: Long): Map<PoolName, PoolDigest> = pools.mapValues { (_, pool) -> digestOf(pool, nowMs) }

    /** The state of each upstream, sorted by id, for operators. */
    fun views(nowMs: Long): List<UpstreamView> = upstreams.values.map { viewOf(it, nowMs) }.sortedBy { it.upstream }

    private fun beginEpoch(
        newEpoch: Long,
        nowMs: Long,
    ) {
        epoch.begin(newEpoch, nowMs)
        grants.clear()
        upstreams.values.forEach {
            it.startEpoch()
            catalog.updateRank(it, nowMs)
        }
    }

    private fun endEpoch(
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        epoch.end()
        for (pool in pools.values) {
            for (waiting in pool.removeAll()) allocator.refuse(waiting.key, GrantAllocator.NOT_COORDINATOR, out)
        }
        grants.clear()
        upstreams.values.forEach {
            it.startEpoch()
            catalog.updateRank(it, nowMs)
        }
    }

    private fun applyReport(
        input: LedgerInput.UpstreamReported,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        val id = input.report.upstream
        val isDrained = allocator.isDomainDrained || id in drained
        catalog.applyReport(input.report, isDrained, isLearning = epoch.isLearning(nowMs), nowMs)?.let { out += it }
        input.report.pools.forEach { name -> pools[name]?.let { if (it.isWaiting) allocator.dispatch(it, out, nowMs) } }
    }

    private fun withdraw(
        key: GrantKey,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        for (pool in pools.values) {
            if (pool.withdraw(key, nowMs) != null) return allocator.dispatch(pool, out, nowMs)
        }
        val record = grants[key] ?: return
        leases.end(record, isReclaimed = false, out, nowMs)
        record.pool?.let { allocator.dispatch(it, out, nowMs) }
    }

    private fun release(
        input: LedgerInput.GrantReleased,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        val record = grants[input.key] ?: return withdraw(input.key, out, nowMs)
        leases.release(record, input.result, out, nowMs)
        dispatchPools(record.grant, out, nowMs)
    }

    private fun renew(
        input: LedgerInput.GrantsRenewed,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        if (!epoch.isActive) return
        val unlisted = grants.renew(input.instance, input.grants.mapTo(HashSet()) { it.key }, nowMs)
        for (grant in input.grants) {
            val record = grants[grant.key]
            if (record != null) {
                leases.attach(record, nowMs)
            } else if (!grants.hasEnded(grant.key)) {
                leases.takeOver(grant, nowMs)
            }
        }
        unlisted.forEach { expire(it, "unused", out, nowMs) }
    }

    private fun expire(
        key: GrantKey,
        cause: String,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        val record = grants[key] ?: return
        out += LedgerOutput.RecordEvent("grant_expired", mapOf("request" to key.requestId.value, "cause" to cause))
        leases.end(record, isReclaimed = true, out, nowMs)
        dispatchPools(record.grant, out, nowMs)
    }

    private fun changeDrains(
        input: LedgerInput.DrainsChanged,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        drained = input.upstreams
        allocator.isDomainDrained = input.isDomainDrained
        for (upstream in upstreams.values) {
            upstream.isDrained = allocator.isDomainDrained || upstream.id in drained
            catalog.invalidateSummaries(upstream)
            catalog.updateRank(upstream, nowMs)
        }
        for (pool in pools.values) {
            if (allocator.isDomainDrained) {
                pool.removeAll().forEach { allocator.refuse(it.key, GrantAllocator.DRAINED, out) }
            }
            allocator.dispatch(pool, out, nowMs)
        }
    }

    private fun tick(
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        if (!epoch.isActive) return
        if (nowMs - lastSweepMs >= SWEEP_MS) {
            lastSweepMs = nowMs
            grants.expired(nowMs).forEach { expire(it, "not_renewed", out, nowMs) }
            catalog.removeSilent(nowMs)
            // Until the leases of an earlier epoch have ended, the holders of these requests may still list them.
            if (!epoch.isLearning(nowMs)) reclaimUnleased(out, nowMs)
        }
        for (upstream in upstreams.values) catalog.updateRank(upstream, nowMs)
        for (pool in pools.values) if (pool.isWaiting) allocator.advance(pool, out, nowMs)
    }

    private fun reclaimUnleased(
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        for (upstream in upstreams.values) {
            upstream.unleased.dueReclaims(nowMs).forEach { out += LedgerOutput.Reclaim(upstream.id, it) }
        }
    }

    private fun dispatchPools(
        grant: Grant,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        val names = grant.parts.flatMapTo(HashSet()) { upstreams[it.upstream]?.report?.pools.orEmpty() }
        names.forEach { name -> pools[name]?.let { if (it.isWaiting) allocator.dispatch(it, out, nowMs) } }
    }

    private companion object {
        const val SWEEP_MS = 200L
    }
}
