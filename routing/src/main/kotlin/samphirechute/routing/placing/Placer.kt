package samphirechute.routing.placing

import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId

/** A decision on a request that was placed, had waited, or is refused. */
data class Decision(
    val request: PlaceRequest,
    val placement: Placement,
)

/**
 * Decides where each request runs, which wait and which are refused. It has no clock: times are those passed in. The
 * coordinator keeps one for all instances, and each instance one for the time in which it reaches no coordinator.
 */
class Placer(
    /** When set, requests are spread instead of packed: several placers that know nothing of each other would all pack the same engine. */
    private val spreadBy: Int? = null,
) {
    /**
     * True while other placers work beside this one, as they do without a leader. Requests then stay in their failure
     * domain if it has upstreams: fewer placers share each of them, and none lies behind a cut.
     */
    var isBesideOthers = spreadBy != null

    /** True while upstreams are still to announce themselves; requests then wait for them rather than be refused. */
    var isLearning = false
    private val loads = LinkedHashMap<UpstreamId, UpstreamLoad>()
    private val pools = HashMap<ServiceName, PoolQueue>()
    private val placements = HashMap<RequestId, PlacedRequest>()
    private val linkHealth = LinkHealth()
    private val turnedAway = TurnedAwayTable()

    fun setPools(profiles: List<PoolProfile>) {
        val services = profiles.map { it.service }.toSet()
        pools.keys.retainAll(services)
        profiles.forEach { profile -> pools.getOrPut(profile.service) { PoolQueue(profile) }.profile = profile }
    }

    fun setUpstreams(upstreams: List<PlacedUpstream>) {
        val ids = upstreams.map { it.id }.toSet()
        loads.keys.retainAll(ids)
        upstreams.forEach { upstream ->
            val known = loads[upstream.id]
            if (known == null) loads[upstream.id] = UpstreamLoad(upstream) else known.upstream = upstream
        }
    }

    /** Places a request, or gives null when it waits; its decision then comes from a later call. */
    fun place(
        request: PlaceRequest,
        nowMs: Long,
    ): Placement? {
        val pool = pools[request.service] ?: return RefusalPolicy.noUpstream()
        val open = openUpstreams(request)
        if (open.isEmpty() && !isLearning) return RefusalPolicy.noUpstream()
        val shortestMs = open.minOfOrNull { turnedAway.remainingMs(request.instance, it.upstream.id, nowMs) } ?: 0
        if (shortestMs > 0) return RefusalPolicy.turnedAway(shortestMs)
        if (RefusalPolicy.isTooLarge(pool.profile, request)) return RefusalPolicy.tooLarge()
        if (!pool.hasPrecedingRequest(request)) tryPlace(pool, request, nowMs)?.let { return it }
        val waitMs = pool.expectedWaitMs(request, nowMs)
        val maxWaitMs = RefusalPolicy.maxWaitMs(request)
        if (maxWaitMs == 0L) return RefusalPolicy.expired()
        if (waitMs > maxWaitMs && !isLearning) return RefusalPolicy.overloaded(waitMs)
        pool.add(request, nowMs + maxWaitMs, nowMs)
        return null
    }

    /** Takes note of a request that an instance has placed by itself. */
    fun adopt(
        request: PlaceRequest,
        upstream: UpstreamId,
        nowMs: Long,
    ) {
        if (request.request in placements) return
        val load = loads[upstream] ?: return
        val profile = pools[request.service]?.profile?.engine
        val prefillMs = profile?.prefillMs(request.promptTokens) ?: 0.0
        commit(request, EngineSplit(listOf(load), prefillMs, 0.0), nowMs)
    }

    fun ended(
        result: PlaceResult,
        nowMs: Long,
    ): List<Decision> {
        val record = placements[result.request]
        loads[result.upstream]?.let { recordOutcome(it, result, nowMs) }
        result.turnedAway?.let { turnedAway.record(result.upstream, it, nowMs) }
        if (record == null || record.head != result.upstream) return emptyList()
        release(record, nowMs)
        val pool = pools[record.request.service] ?: return emptyList()
        pool.recordEnd(nowMs)
        return dispatch(pool, nowMs)
    }

    /** The client of a waiting request has left. */
    fun withdraw(
        request: RequestId,
        nowMs: Long,
    ): List<Decision> {
        pools.values.forEach { it.remove(request) }
        placements[request]?.let { release(it, nowMs) }
        return pools.values.flatMap { dispatch(it, nowMs) }
    }

    /** Frees all that was placed for instances that are gone; their connections, and so their requests, have ended. */
    fun forget(
        isGone: (InstanceId) -> Boolean,
        nowMs: Long,
    ) {
        placements.values.filter { isGone(it.request.instance) }.forEach { release(it, nowMs) }
    }

    /**
     * Frees what [instance] no longer has [running]. A coordinator that leads again knows requests that ended while
     * another led. Answers under way may name requests that the instance does not know of yet.
     */
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

    /** Dispatches what has room by now, refuses what waited too long, and forgets what was never reported as ended. */
    fun tick(nowMs: Long): List<Decision> {
        placements.values.filter { nowMs > it.untilMs }.forEach { release(it, nowMs) }
        return pools.values.flatMap { pool ->
            val expired = pool.removeExpired(nowMs).map { Decision(it, RefusalPolicy.expired()) }
            expired + dispatch(pool, nowMs)
        }
    }

    fun placedOn(upstream: UpstreamId): Int = loads[upstream]?.running ?: 0

    val waiting: Int get() = pools.values.sumOf { it.size }

    private fun dispatch(
        pool: PoolQueue,
        nowMs: Long,
    ): List<Decision> {
        if (pool.size == 0) return emptyList()
        val decisions = ArrayList<Decision>()
        for (request in pool.inOrder()) {
            val granted = tryPlace(pool, request, nowMs) ?: continue
            pool.remove(request.request)
            decisions += Decision(request, granted)
        }
        return decisions
    }

    private fun tryPlace(
        pool: PoolQueue,
        request: PlaceRequest,
        nowMs: Long,
    ): Placement.Granted? {
        val candidates = candidates(pool.profile, request, nowMs)
        val engine = pool.profile.engine
        if (engine == null) return placePlain(candidates, request, nowMs)
        val waitedMs = request.elapsedMs + pool.waitedMs(request.request, nowMs)
        val split = EngineSelector(engine, candidates, request, nowMs, spreadBy, waitedMs).select() ?: return null
        commit(request, split, nowMs)
        return toGranted(split)
    }

    /** The least loaded upstream, of the own failure domain when there are several. */
    private fun placePlain(
        candidates: List<UpstreamLoad>,
        request: PlaceRequest,
        nowMs: Long,
    ): Placement.Granted? {
        val free = candidates.filter { it.running < it.upstream.slots }
        val chosen =
            free.minWithOrNull(
                compareBy({ it.running }, { it.upstream.failureDomain != request.failureDomain }, { it.typicalFirstByteMs }),
            ) ?: return null
        val single = EngineSplit(listOf(chosen), 0.0, chosen.typicalFirstByteMs)
        commit(request, single, nowMs)
        return toGranted(single)
    }

    /** Those that are silent, paused or excluded are used only when no other is open. */
    private fun candidates(
        profile: PoolProfile,
        request: PlaceRequest,
        nowMs: Long,
    ): List<UpstreamLoad> {
        val open =
            openUpstreams(request).filter {
                !isAtColdLimit(it, profile, nowMs) && turnedAway.remainingMs(request.instance, it.upstream.id, nowMs) == 0L
            }
        val reachable =
            open
                .filter { !linkHealth.isCut(request.failureDomain, it.upstream.failureDomain, nowMs) }
                .ifEmpty { open }
        val inDomain = if (isBesideOthers) reachable.filter { it.upstream.failureDomain == request.failureDomain } else reachable
        val preferred = inDomain.ifEmpty { reachable }
        val trusted = preferred.filter { !it.isPaused(nowMs) && !isDoubtful(it, nowMs) }
        return trusted.ifEmpty { preferred }
    }

    private fun openUpstreams(request: PlaceRequest): List<UpstreamLoad> =
        loads.values.filter {
            it.upstream.service == request.service && it.upstream.isOpen && it.upstream.id !in request.excluded
        }

    fun hasOpen(
        service: ServiceName,
        excluded: Set<UpstreamId>,
    ): Boolean =
        loads.values.any { it.upstream.service == service && it.upstream.isOpen && it.upstream.id !in excluded }

    private fun isDoubtful(
        load: UpstreamLoad,
        nowMs: Long,
    ) = load.upstream.isSilent && nowMs - load.lastAnswerMs > TRUST_AFTER_ANSWER_MS

    /** An upstream may turn cold without an announcement, so none gets more than a cold one carries. */
    private fun isAtColdLimit(
        load: UpstreamLoad,
        profile: PoolProfile,
        nowMs: Long,
    ) = profile.coldRequestsPerS > 0 && load.recentGrants(nowMs) >= profile.coldRequestsPerS * COLD_SHARE

    private fun commit(
        request: PlaceRequest,
        split: EngineSplit,
        nowMs: Long,
    ) {
        // A request runs in one place at a time; word of the end of its last attempt may be under way still.
        placements[request.request]?.let { release(it, nowMs) }
        val gapMs = request.targetGapMs ?: Long.MAX_VALUE
        val headTokens = request.promptTokens + request.answerTokens - split.reservedTokens.values.sum()
        split.engines.forEachIndexed { index, load ->
            val isHead = index == 0
            val memory = if (isHead) headTokens else split.reservedTokens[load] ?: 0L
            val job = UpstreamLoad.Job(isHead, split.partMs, memory, gapMs, nowMs, split.firstEventMs, request.weight)
            load.add(request.request, job, nowMs)
        }
        split.engines.forEach { linkHealth.recordAttempt(request.failureDomain, it.upstream.failureDomain, nowMs) }
        val head =
            split.engines
                .first()
                .upstream.id
        placements[request.request] = PlacedRequest(request, head, split.engines, nowMs, nowMs + request.deadlineMs + END_GRACE_MS)
    }

    private fun release(
        record: PlacedRequest,
        nowMs: Long,
    ) {
        placements.remove(record.request.request)
        record.engines.forEach { it.remove(record.request.request, nowMs) }
    }

    private fun recordOutcome(
        load: UpstreamLoad,
        result: PlaceResult,
        nowMs: Long,
    ) {
        val firstByteMs = result.firstByteMs
        when (result.outcome) {
            PlaceOutcome.FAILED, PlaceOutcome.GONE -> {
                load.recordFailure(nowMs)
            }

            PlaceOutcome.UNREACHABLE -> {
                load.recordFailure(nowMs)
                result.from?.let { linkHealth.recordFailure(it, load.upstream, nowMs) }
            }

            PlaceOutcome.STALLED -> {
                load.recordStall(nowMs)
            }

            PlaceOutcome.REFUSED -> {
                load.recordRefusal(nowMs)
            }

            PlaceOutcome.DONE, PlaceOutcome.CANCELLED -> {
                if (firstByteMs != null) {
                    load.recordAnswer(firstByteMs, nowMs)
                    result.from?.let { linkHealth.recordSuccess(it, load.upstream) }
                }
            }
        }
    }

    private fun toGranted(split: EngineSplit): Placement.Granted {
        val head = split.engines.first().upstream
        val helpers =
            split.engines.drop(1).map {
                PlacedHelper(it.upstream.id, it.upstream.address, split.reservedTokens[it] ?: 0L)
            }
        return Placement.Granted(head.id, head.address, helpers, split.firstEventMs.toLong())
    }

    private class PlacedRequest(
        val request: PlaceRequest,
        val head: UpstreamId,
        val engines: List<UpstreamLoad>,
        val placedMs: Long,
        val untilMs: Long,
    )

    private companion object {
        const val TRUST_AFTER_ANSWER_MS = 2_000L
        const val END_GRACE_MS = 1_000L

        /** Longer than an answer to a placement is under way. */
        const val GRANT_DELIVERY_MS = 500L
        const val COLD_SHARE = 0.9
    }
}
