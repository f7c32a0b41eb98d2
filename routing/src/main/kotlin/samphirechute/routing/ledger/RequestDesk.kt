package samphirechute.routing.ledger

import samphirechute.core.PoolName
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantRequest
import samphirechute.routing.RefusalReason

/** Answers requests for grants: at once where possible, or from the queues of their pool. */
internal class RequestDesk(
    private val pools: MutableMap<PoolName, PoolLedger>,
    private val grants: GrantTable,
    private val leases: GrantLeases,
    private val prefixes: PrefixIndex,
    private val epoch: EpochState,
    private val limits: LedgerLimits,
) {
    private val admission = Admission(limits)
    var isDomainDrained = false

    fun ask(
        request: GrantRequest,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        grants[request.key]?.let {
            out += LedgerOutput.Granted(it.grant)
            return
        }
        if (!epoch.isHeld) return refuse(request.key, NOT_COORDINATOR, out)
        val pool = pools.getOrPut(request.pool) { PoolLedger(request.pool, prefixes, limits) }
        if (pool.isQueued(request.key)) return
        val areEngines = pool.summary(nowMs).areEngines
        val cost = if (areEngines) request.promptTokens + request.maxTokens / COST_OF_ANSWER else 1L
        val waiting = Waiting(request, nowMs, cost)
        unservable(pool, request, nowMs)?.let { return refuse(request.key, it, out) }
        val kind = pool.kindOf(waiting, nowMs)
        waiting.isBelowShare = pool.line(kind)?.queue?.isBelowShare(waiting) ?: false
        pool.share.asked(request.promptTokens, kind != RequestKind.SHORT, nowMs)
        val isFirst = pool.line(kind)?.queue?.isEmpty ?: pool.gangs.isEmpty
        val offer = if (isFirst && epoch.mayGrant(nowMs)) tryGrant(pool, kind, waiting, out, nowMs) else Offer.NO_ROOM
        if (offer == Offer.GRANTED) pool.line(kind)?.queue?.charge(waiting)
        if (offer != Offer.NO_ROOM) return
        enqueue(pool, kind, waiting, out, nowMs)
        if (!isFirst || kind == RequestKind.GANG) dispatch(pool, out, nowMs)
    }

    /** Grants what waits for a pool as far as its upstreams have room. */
    fun dispatch(
        pool: PoolLedger,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        if (!epoch.mayGrant(nowMs)) return
        while (true) {
            val gang = pool.gangs.tryHead(pool.upstreams, nowMs) ?: break
            pool.gangs.remove(gang.waiting.key, nowMs)
            out += LedgerOutput.Granted(leases.grantGang(pool, gang, epoch.number, nowMs))
        }
        dispatch(pool, RequestKind.LONG, out, nowMs)
        dispatch(pool, RequestKind.SHORT, out, nowMs)
    }

    /** Refuses what cannot be served in time any more, and lets time move the rest. */
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
            val line = pool.line(kind) ?: continue
            line.drain.advance(!line.queue.isEmpty, nowMs)
            line.queue.age(nowMs)
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
        waiting: Waiting,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        val refusal = admission.refusalOf(pool, kind, waiting, nowMs)
        val line = pool.line(kind)
        if (refusal?.reason == RefusalReason.QUEUE_FULL && line != null) {
            val heaviest = line.queue.heaviest()
            val own = line.queue.weightOf(waiting) + waiting.costTokens.toDouble() / waiting.share
            if (heaviest != null && line.queue.weightOf(heaviest) > own) {
                line.queue.remove(heaviest.key)
                refuse(heaviest.key, refusal, out)
                line.queue.add(waiting)
                return
            }
        }
        when {
            refusal != null -> refuse(waiting.key, refusal, out)
            line != null -> line.queue.add(waiting)
            else -> pool.gangs.add(waiting, nowMs)
        }
    }

    private fun unservable(
        pool: PoolLedger,
        request: GrantRequest,
        nowMs: Long,
    ): Refusal? {
        if (isDomainDrained) return Refusal(RefusalReason.DRAINED, DRAINED_RETRY_MS)
        val summary = pool.summary(nowMs)
        // Upstreams announce themselves each second; a new coordinator waits to hear of them.
        if (epoch.isLearning(nowMs) && summary.usable == 0) return null
        if (summary.serving == 0) return Refusal(RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_MS)
        if (summary.serving == summary.leaving) return Refusal(RefusalReason.DRAINED, DRAINED_RETRY_MS)
        if (request.excluded.isEmpty()) return null
        val isAnyLeft = pool.upstreams.any { it.isServing(nowMs) && it.id !in request.excluded }
        return if (isAnyLeft) null else Refusal(RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_MS)
    }

    /** Grants or refuses a request for which an upstream has room. */
    private fun tryGrant(
        pool: PoolLedger,
        kind: RequestKind,
        waiting: Waiting,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ): Offer {
        if (kind == RequestKind.GANG) return Offer.NO_ROOM
        val choice = pool.choose(kind, waiting, nowMs) ?: return Offer.NO_ROOM
        val refusal = admission.refusalOf(pool, waiting, choice, nowMs)
        if (refusal != null) {
            refuse(waiting.key, refusal, out)
            return Offer.REFUSED
        }
        out += LedgerOutput.Granted(leases.grant(pool, waiting, choice, epoch.number, nowMs))
        return Offer.GRANTED
    }

    private fun dispatch(
        pool: PoolLedger,
        kind: RequestKind,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        val line = pool.line(kind) ?: return
        if (line.queue.isEmpty) return
        while (true) {
            var cost = 0L
            val offer =
                line.queue.offer { waiting ->
                    cost = waiting.costTokens
                    tryGrant(pool, kind, waiting, out, nowMs)
                }
            if (offer == Offer.NO_ROOM) break
            if (offer == Offer.GRANTED) line.drain.granted(cost, !line.queue.isEmpty, nowMs)
        }
    }

    companion object {
        private const val NO_UPSTREAM_RETRY_MS = 1_000L
        private const val DRAINED_RETRY_MS = 3_000L

        /** A generated token costs an engine less than the prefill that precedes it; half of the limit is a guess. */
        private const val COST_OF_ANSWER = 2
        private val NO_UPSTREAM = Refusal(RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_MS)
        val NOT_COORDINATOR = Refusal(RefusalReason.NOT_COORDINATOR, NO_UPSTREAM_RETRY_MS)
        val DRAINED = Refusal(RefusalReason.DRAINED, DRAINED_RETRY_MS)
    }
}
