package samphirechute.routing.placing

import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.routing.pace.PaceTable
import samphirechute.routing.pace.PacedResponse
import samphirechute.routing.quarantine.RequestQuarantine

/**
 * The granted requests of a [Placer] that have not ended, the load that they put on each upstream, and what is known
 * about unreachable failure domains.
 */
internal class PlacementAccounts(
    private val quarantine: RequestQuarantine,
    private val pace: PaceTable,
    private val rules: EngineRules,
) {
    private val loads = LinkedHashMap<UpstreamId, UpstreamLoad>()
    private val placements = HashMap<RequestId, PlacedRequest>()
    val linkHealth = LinkHealth()

    val upstreams: Collection<UpstreamLoad> get() = loads.values

    /** The upstreams of a service, also those that may take no request now; evaluated when they are iterated over. */
    fun ofService(service: ServiceName): Iterable<UpstreamLoad> =
        loads.values
            .asSequence()
            .filter { it.upstream.service == service }
            .asIterable()

    operator fun get(upstream: UpstreamId): UpstreamLoad? = loads[upstream]

    operator fun contains(request: RequestId) = request in placements

    /** Returns when a request was placed that has not ended, or null. */
    fun placedMs(request: RequestId): Long? = placements[request]?.placedMs

    /** Replaces the known upstreams. Upstreams that remain keep their load. */
    fun setUpstreams(upstreams: List<PlacementTarget>) {
        val ids = upstreams.map { it.id }.toSet()
        loads.keys.retainAll(ids)
        upstreams.forEach { upstream ->
            val known = loads[upstream.id]
            if (known ==
                null
            ) {
                loads[upstream.id] = UpstreamLoad(upstream, rules.newSpeed())
            } else {
                known.upstream = upstream
            }
        }
    }

    /** The engines with the longest prefill left, up to [MAX_BUSY]. */
    fun busyUpstreams(nowMs: Long): List<BusyUpstream> =
        loads.values
            .filter { it.hasLongPrefill(nowMs) }
            .sortedByDescending { it.prefillWaitMs(nowMs) }
            .take(MAX_BUSY)
            .map { BusyUpstream(it.upstream.id, it.prefillWaitMs(nowMs).toLong()) }

    /** Replaces what was reported about the prefill of other instances. */
    fun setBusyUpstreams(
        busy: List<BusyUpstream>,
        nowMs: Long,
    ) {
        val prefillMs = busy.associate { it.upstream to it.prefillMs }
        loads.values.forEach { it.recordReportedPrefill(prefillMs[it.upstream.id] ?: 0, nowMs) }
    }

    fun commit(
        request: PlacementRequest,
        split: EngineSplit,
        nowMs: Long,
    ) {
        // A request runs on one upstream at a time, but the report on the end of its last attempt may not have arrived.
        placements[request.request]?.let { release(it, nowMs) }
        val gapMs = request.targetGapMs ?: Long.MAX_VALUE
        val headTokens = request.promptTokens + request.answerTokens - split.reservedTokens.values.sum()
        split.engines.forEachIndexed { index, load ->
            val isHead = index == 0
            val memory = if (isHead) headTokens else split.reservedTokens[load] ?: 0L
            val ratio = load.speedRatio(nowMs)
            val predictedMs = split.predictedMs.getOrElse(index) { 0.0 }
            val job =
                UpstreamLoad.Job(
                    isHead,
                    split.partMs * ratio,
                    memory,
                    gapMs,
                    nowMs,
                    predictedMs,
                    request.weight,
                    ratio,
                )
            load.add(request.request, job, nowMs)
        }
        split.engines.forEach { linkHealth.recordAttempt(request.failureDomain, it.upstream.failureDomain, nowMs) }
        val head =
            split.engines
                .first()
                .upstream.id
        placements[request.request] =
            PlacedRequest(request, head, split, nowMs, nowMs + request.deadlineMs + END_GRACE_MS)
    }

    /** Releases a request that has ended at [upstream] and returns it, or null if it does not run there. */
    fun end(
        request: RequestId,
        upstream: UpstreamId,
        nowMs: Long,
    ): PlacementRequest? {
        val record = placements[request]?.takeIf { it.head == upstream } ?: return null
        release(record, nowMs)
        return record.request
    }

    fun release(
        request: RequestId,
        nowMs: Long,
    ) {
        placements[request]?.let { release(it, nowMs) }
    }

    /** Releases the requests of instances that are gone. */
    fun forget(
        isGone: (InstanceId) -> Boolean,
        nowMs: Long,
    ) {
        placements.values.filter { isGone(it.request.instance) }.forEach { release(it, nowMs) }
    }

    /** Releases the requests of [instance] that are not among [running], see [Placer.retain]. */
    fun retain(
        instance: InstanceId,
        running: Set<RequestId>,
        nowMs: Long,
    ) {
        placements.values
            .filter {
                it.request.instance == instance && it.request.request !in running &&
                    nowMs - it.placedMs > GRANT_DELIVERY_MS
            }.forEach { release(it, nowMs) }
    }

    /** Releases the requests whose end was never reported, once their deadline has passed. */
    fun releaseOverdue(nowMs: Long) {
        placements.values.filter { nowMs > it.untilMs }.forEach { release(it, nowMs) }
    }

    /** Updates what is known about the upstream and the links to it after the end of an attempt. */
    fun recordOutcome(
        result: PlacementResult,
        nowMs: Long,
    ) {
        val load = loads[result.upstream] ?: return
        val firstByteMs = result.firstByteMs
        recordPace(result, nowMs)
        recordSpeed(result, nowMs)
        when (result.outcome) {
            PlacementOutcome.FAILED, PlacementOutcome.GONE -> {
                load.recordFailure(nowMs)
            }

            PlacementOutcome.UNREACHABLE -> {
                load.recordFailure(nowMs)
                result.from?.let { linkHealth.recordFailure(it, load.upstream, nowMs) }
            }

            PlacementOutcome.STALLED -> {
                load.recordStall(nowMs)
            }

            PlacementOutcome.REFUSED -> {
                load.recordRefusal(nowMs)
            }

            PlacementOutcome.DONE, PlacementOutcome.CANCELLED -> {
                if (firstByteMs != null) {
                    placements[result.request]?.let { quarantine.recordAlive(load.upstream.id, it.placedMs) }
                    load.recordAnswer(firstByteMs, nowMs)
                    result.from?.let { linkHealth.recordSuccess(it, load.upstream) }
                }
            }
        }
    }

    /** The end of a request that is not known here any more tells nothing about when it was granted. */
    private fun recordPace(
        result: PlacementResult,
        nowMs: Long,
    ) {
        val placed = placements[result.request]?.takeIf { it.head == result.upstream } ?: return
        when (result.outcome) {
            PlacementOutcome.FAILED,
            PlacementOutcome.UNREACHABLE,
            PlacementOutcome.STALLED,
            PlacementOutcome.REFUSED,
            -> {
                pace.recordFailure(result.upstream, result.from, placed.placedMs, nowMs)
            }

            PlacementOutcome.DONE, PlacementOutcome.CANCELLED -> {
                val firstByteMs = result.firstByteMs ?: return
                val targetMs = placed.request.targetMs
                // The average that predicts plain responses follows a slow upstream, so that none would be late.
                val predictedMs = if (placed.split.partMs > 0) placed.split.firstEventMs else 0.0
                val response = PacedResponse(firstByteMs, predictedMs, targetMs, result.from, placed.placedMs)
                pace.recordAnswer(result.upstream, response, nowMs)
            }

            // Another upstream has the address, which says nothing about this one.
            PlacementOutcome.GONE -> {
                return
            }
        }
    }

    /**
     * Takes in how long the first event took. A late one of a split prompt shows that one of the engines is slow but
     * not which, so each is charged its share; an early one shows that all of them were in time. A request whose caller
     * left before the first event says nothing, while a silent upstream took at least the time since the grant.
     */
    private fun recordSpeed(
        result: PlacementResult,
        nowMs: Long,
    ) {
        val record = placements[result.request]?.takeIf { it.head == result.upstream } ?: return
        val isSilent = result.outcome == PlacementOutcome.STALLED
        val observedMs = result.firstByteMs ?: if (isSilent) nowMs - record.placedMs else return
        val isLate = observedMs > record.split.firstEventMs
        val engines = record.split.engines
        val share = if (isLate) 1.0 / engines.size else 1.0
        engines.forEach { it.recordFirstEvent(result.request, observedMs, share, nowMs) }
    }

    private fun release(
        record: PlacedRequest,
        nowMs: Long,
    ) {
        placements.remove(record.request.request)
        record.split.engines.forEach { it.remove(record.request.request, nowMs) }
    }

    /** A granted request that has not ended. [untilMs] is the time at which it is released without a report. */
    private class PlacedRequest(
        val request: PlacementRequest,
        val head: UpstreamId,
        val split: EngineSplit,
        val placedMs: Long,
        val untilMs: Long,
    )

    private companion object {
        /** Bounds the list, which every instance gets once a second, to about 2 KB. */
        const val MAX_BUSY = 40

        /** Time after the deadline of a request in which the report on its end may still arrive. */
        const val END_GRACE_MS = 1_000L

        /** Upper bound on the time that a grant takes to reach its instance. */
        const val GRANT_DELIVERY_MS = 500L
    }
}
