package samphirechute.routing.ledger

import samphirechute.core.PoolName
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantRequest
import samphirechute.routing.RefusalReason

/**
 * Grants, queues or refuses the requests of a [DomainLedger]. A request is granted on arrival if possible, and
 * otherwise waits in a queue of its pool until [dispatch] finds room for it or [advance] refuses it.
 */
internal class GrantAllocator(
    private val pools: MutableMap<PoolName, PoolLedger>,
    private val grants: GrantTable,
    private val leases: GrantLeases,
    private val prefixes: PrefixIndex,
    private val epoch: EpochState,
    private val limits: LedgerLimits,
) {
    private val admission = AdmissionControl(limits)
    var isDomainDrained = false

    /**
     * Handles a new or repeated request for a grant.
     *
     * Repeated requests are recognized first, so that an attempt never gets two grants. A request that no upstream can
     * serve is refused before it counts as demand. The others are granted at once only if nothing of their kind waits
     * already; otherwise admission control decides whether they are queued.
     */
    fun requestGrant(
        request: GrantRequest,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        grants[request.key]?.let {
            out += LedgerOutput.Granted(it.grant)
            return
        }
        if (!epoch.isActive) return refuse(request.key, NOT_COORDINATOR, out)
        val pool = pools.getOrPut(request.pool) { PoolLedger(request.pool, prefixes, limits) }
        if (pool.isQueued(request.key)) return
        val areEngines = pool.summary(nowMs).areEngines
        val cost = if (areEngines) request.promptTokens + request.maxTokens / ANSWER_COST_DIVISOR else 1L
        val waiting = WaitingRequest(request, nowMs, cost)
        refusalIfUnservable(pool, request, nowMs)?.let { return refuse(request.key, it, out) }
        val kind = pool.kindOf(waiting, nowMs)
        waiting.isBelowShare = pool.queueOf(kind)?.requests?.isBelowShare(waiting) ?: false
        pool.longShare.recordDemand(request.promptTokens, kind != RequestKind.SHORT, nowMs)
        val isFirst = pool.queueOf(kind)?.requests?.isEmpty ?: pool.gangs.isEmpty
        val offer =
            if (isFirst && epoch.mayGrant(nowMs)) tryGrant(pool, kind, waiting, out, nowMs) else OfferResult.NO_ROOM
        if (offer == OfferResult.GRANTED) pool.queueOf(kind)?.requests?.charge(waiting)
        if (offer != OfferResult.NO_ROOM) return
        enqueue(pool, kind, waiting, out, nowMs)
        if (!isFirst || kind == RequestKind.GANG) dispatch(pool, out, nowMs)
    }

    /**
     * Grants waiting requests of [pool] as far as its upstreams have room. Gangs come first, then long prompts: they
     * need the most room, which smaller requests would otherwise keep taking.
     */
    fun dispatch(
        pool: PoolLedger,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        if (!epoch.mayGrant(nowMs)) return
        while (true) {
            val gang = pool.gangs.allocateHead(pool.upstreams, nowMs) ?: break
            pool.gangs.remove(gang.waiting.key, nowMs)
            out += LedgerOutput.Granted(leases.grantGang(pool, gang, epoch.number, nowMs))
        }
        dispatch(pool, RequestKind.LONG, out, nowMs)
        dispatch(pool, RequestKind.SHORT, out, nowMs)
    }

    /** Refuses waiting requests that can no longer be served in time, ages the others and grants what fits. */
    fun advance(
        pool: PoolLedger,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        for (kind in RequestKind.entries) {
            for (waiting in admission.removeLate(pool, kind, nowMs)) {
                val retryMs = admission.retryMs(pool, kind, waiting, nowMs)
                refuse(waiting.key, Refusal(RefusalReason.TOO_LATE, retryMs), out)
            }
            val queue = pool.queueOf(kind) ?: continue
            queue.drainRate.advance(!queue.requests.isEmpty, nowMs)
            queue.requests.age(nowMs)
        }
        if (!epoch.isLearning(nowMs) && pool.summary(nowMs).serving == 0) {
            pool.removeAll().forEach { refuse(it.key, NO_UPSTREAM, out) }
        }
        dispatch(pool, out, nowMs)
    }

    fun refuse(
        key: GrantKey,
        refusal: Refusal,
        out: MutableList<LedgerOutput>,
    ) {
        out += LedgerOutput.Refused(key, refusal.reason, refusal.retryAfterMs)
    }

    private fun enqueue(
        pool: PoolLedger,
        kind: RequestKind,
        waiting: WaitingRequest,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        val refusal = admission.refusalOf(pool, kind, waiting, nowMs)
        val queue = pool.queueOf(kind)
        if (refusal?.reason == RefusalReason.QUEUE_FULL && queue != null) {
            val heaviestRequest = queue.requests.heaviestRequest()
            val own = queue.requests.queuedTokensPerShare(waiting) + waiting.costTokens.toDouble() / waiting.share
            if (heaviestRequest != null && queue.requests.queuedTokensPerShare(heaviestRequest) > own) {
                queue.requests.remove(heaviestRequest.key)
                refuse(heaviestRequest.key, refusal, out)
                queue.requests.add(waiting)
                return
            }
        }
        when {
            refusal != null -> refuse(waiting.key, refusal, out)
            queue != null -> queue.requests.add(waiting)
            else -> pool.gangs.add(waiting, nowMs)
        }
    }

    private fun refusalIfUnservable(
        pool: PoolLedger,
        request: GrantRequest,
        nowMs: Long,
    ): Refusal? {
        if (isDomainDrained) return Refusal(RefusalReason.DRAINED, DRAINED_RETRY_MS)
        val summary = pool.summary(nowMs)
        // Upstreams announce themselves every second. A new coordinator lets requests wait until it knows some.
        if (epoch.isLearning(nowMs) && summary.usable == 0) return null
        if (summary.serving == 0) return Refusal(RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_MS)
        if (summary.serving == summary.leaving) return Refusal(RefusalReason.DRAINED, DRAINED_RETRY_MS)
        if (request.excluded.isEmpty()) return null
        val isAnyLeft = pool.upstreams.any { it.isServing(nowMs) && it.id !in request.excluded }
        return if (isAnyLeft) null else Refusal(RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_MS)
    }

    /** Grants a request, or refuses it if it would be late, as soon as an upstream has room for it. */
    private fun tryGrant(
        pool: PoolLedger,
        kind: RequestKind,
        waiting: WaitingRequest,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ): OfferResult {
        if (kind == RequestKind.GANG) return OfferResult.NO_ROOM
        val choice = pool.choose(kind, waiting, nowMs) ?: return OfferResult.NO_ROOM
        val refusal = admission.refusalOf(pool, waiting, choice, nowMs)
        if (refusal != null) {
            refuse(waiting.key, refusal, out)
            return OfferResult.REFUSED
        }
        out += LedgerOutput.Granted(leases.grant(pool, waiting, choice, epoch.number, nowMs))
        return OfferResult.GRANTED
    }

    private fun dispatch(
        pool: PoolLedger,
        kind: RequestKind,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        val queue = pool.queueOf(kind) ?: return
        if (queue.requests.isEmpty) return
        while (true) {
            var cost = 0L
            val offer =
                queue.requests.offer { waiting ->
                    cost = waiting.costTokens
                    tryGrant(pool, kind, waiting, out, nowMs)
                }
            if (offer == OfferResult.NO_ROOM) break
            if (offer == OfferResult.GRANTED) queue.drainRate.recordGrant(cost, !queue.requests.isEmpty, nowMs)
        }
    }

    companion object {
        private const val NO_UPSTREAM_RETRY_MS = 1_000L
        private const val DRAINED_RETRY_MS = 3_000L

        /**
         * Half of the token limit of the answer counts toward the cost of a request. The half is a guess; a generated
         * token costs an engine less than the prefill before it.
         */
        private const val ANSWER_COST_DIVISOR = 2
        private val NO_UPSTREAM = Refusal(RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_MS)
        val NOT_COORDINATOR = Refusal(RefusalReason.NOT_COORDINATOR, NO_UPSTREAM_RETRY_MS)
        val DRAINED = Refusal(RefusalReason.DRAINED, DRAINED_RETRY_MS)
    }
}
