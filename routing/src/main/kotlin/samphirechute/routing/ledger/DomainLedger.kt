package samphirechute.routing.ledger

import samphirechute.core.PoolName
import samphirechute.core.UpstreamId
import samphirechute.routing.Grant
import samphirechute.routing.GrantKey
import samphirechute.routing.PoolDigest

/**
 * The ledger of a failure domain, kept by its coordinator: limits, load and memory of each upstream, the grants given
 * for them, and the requests that wait. It decides which request runs where and when, and which is refused.
 *
 * An [LedgerInput.GrantRequested] that yields neither [LedgerOutput.Granted] nor [LedgerOutput.Refused] for its key is queued;
 * one of them follows. The ledger has no clock: times are those passed in, monotonic, of this instance.
 */
class DomainLedger(
    private val limits: LedgerLimits = LedgerLimits(),
) {
    private val upstreams = HashMap<UpstreamId, UpstreamLedger>()
    private val pools = HashMap<PoolName, PoolLedger>()
    private val prefixes = PrefixIndex()
    private val grants = GrantTable(limits)
    private val intake = ReportIntake(upstreams, pools, prefixes, limits)
    private val leases = GrantLeases(grants, upstreams, prefixes, intake::place)

    private val epoch = EpochState(limits)
    private val desk = RequestDesk(pools, grants, leases, prefixes, epoch, limits)

    private var drained = emptySet<UpstreamId>()
    private var sweptMs = Long.MIN_VALUE / 2

    fun handle(
        input: LedgerInput,
        nowMs: Long,
    ): List<LedgerOutput> {
        val out = ArrayList<LedgerOutput>(2)
        when (input) {
            is LedgerInput.EpochBegan -> begin(input.epoch, nowMs)
            is LedgerInput.EpochEnded -> end(out, nowMs)
            is LedgerInput.UpstreamReported -> report(input, out, nowMs)
            is LedgerInput.GrantRequested -> desk.ask(input.request, out, nowMs)
            is LedgerInput.RequestWithdrawn -> withdraw(input.key, out, nowMs)
            is LedgerInput.GrantReleased -> release(input, out, nowMs)
            is LedgerInput.GrantsRenewed -> renew(input, out, nowMs)
            is LedgerInput.DrainsChanged -> drain(input, out, nowMs)
            is LedgerInput.Ticked -> tick(out, nowMs)
        }
        return out
    }

    /** What other failure domains need to know to send requests here, by pool. */
    fun digest(nowMs: Long): Map<PoolName, PoolDigest> = pools.mapValues { (_, pool) -> digestOf(pool, nowMs) }

    /** The state of each upstream, for operators. */
    fun views(nowMs: Long): List<UpstreamView> = upstreams.values.map { viewOf(it, nowMs) }.sortedBy { it.upstream }

    private fun begin(
        newEpoch: Long,
        nowMs: Long,
    ) {
        epoch.begin(newEpoch, nowMs)
        grants.clear()
        upstreams.values.forEach {
            it.startEpoch()
            intake.place(it, nowMs)
        }
    }

    private fun end(
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        epoch.end()
        for (pool in pools.values) {
            for (waiting in pool.removeAll()) desk.refuse(waiting.key, RequestDesk.NOT_COORDINATOR, out)
        }
        grants.clear()
        upstreams.values.forEach {
            it.startEpoch()
            intake.place(it, nowMs)
        }
    }

    private fun report(
        input: LedgerInput.UpstreamReported,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        val id = input.report.upstream
        val isDrained = desk.isDomainDrained || id in drained
        intake.take(input.report, isDrained, isLearning = epoch.isLearning(nowMs), nowMs)?.let { out += it }
        input.report.pools.forEach { name -> pools[name]?.let { if (it.isWaiting) desk.dispatch(it, out, nowMs) } }
    }

    private fun withdraw(
        key: GrantKey,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        for (pool in pools.values) {
            if (pool.withdraw(key, nowMs) != null) return desk.dispatch(pool, out, nowMs)
        }
        val record = grants[key] ?: return
        leases.end(record, isReclaimed = false, out, nowMs)
        record.pool?.let { desk.dispatch(it, out, nowMs) }
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
        if (!epoch.isHeld) return
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

    private fun drain(
        input: LedgerInput.DrainsChanged,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        drained = input.upstreams
        desk.isDomainDrained = input.isDomainDrained
        for (upstream in upstreams.values) {
            upstream.isDrained = desk.isDomainDrained || upstream.id in drained
            intake.changed(upstream)
            intake.place(upstream, nowMs)
        }
        for (pool in pools.values) {
            if (desk.isDomainDrained) pool.removeAll().forEach { desk.refuse(it.key, RequestDesk.DRAINED, out) }
            desk.dispatch(pool, out, nowMs)
        }
    }

    private fun tick(
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        if (!epoch.isHeld) return
        if (nowMs - sweptMs >= SWEEP_MS) {
            sweptMs = nowMs
            grants.expired(nowMs).forEach { expire(it, "not_renewed", out, nowMs) }
            intake.forgetSilent(nowMs)
            // Whoever held these requests may list them until the leases of an earlier epoch have ended.
            if (!epoch.isLearning(nowMs)) reclaimHeld(out, nowMs)
        }
        for (upstream in upstreams.values) intake.place(upstream, nowMs)
        for (pool in pools.values) if (pool.isWaiting) desk.advance(pool, out, nowMs)
    }

    private fun reclaimHeld(
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        for (upstream in upstreams.values) {
            upstream.held.dueReclaims(nowMs).forEach { out += LedgerOutput.Reclaim(upstream.id, it) }
        }
    }

    private fun dispatchPools(
        grant: Grant,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        val names = grant.parts.flatMapTo(HashSet()) { upstreams[it.upstream]?.report?.pools.orEmpty() }
        names.forEach { name -> pools[name]?.let { if (it.isWaiting) desk.dispatch(it, out, nowMs) } }
    }

    private companion object {
        const val SWEEP_MS = 200L
    }
}
