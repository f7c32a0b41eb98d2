package samphirechute.routing.placing

import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId

/** A decision on a request that was placed, had waited, or is refused. */
data class PlacementDecision(
    val request: PlacementRequest,
    val placement: Placement,
)

/**
 * Decides where each request runs, which wait and which are refused. It has no clock: times are those passed in. The
 * coordinator keeps one for all instances, and each instance one for the time in which it reaches no coordinator.
 */
class Placer(
    /** When set, requests are spread instead of packed: several placers that know nothing of each other would all pack the same engine. */
    private val spreadSeed: Int? = null,
) {
    /**
     * True while other placers work beside this one, as they do without a leader. Requests then stay in their failure
     * domain if it has upstreams: fewer placers share each of them, and none lies behind a cut.
     */
    var hasPeerPlacers = spreadSeed != null

    /** True while upstreams are still to announce themselves; requests then wait for them rather than be refused. */
    var isLearning = false
    private val loads = LinkedHashMap<UpstreamId, UpstreamLoad>()
    private val pools = HashMap<ServiceName, PoolQueue>()
    private val placed = HashMap<RequestId, Placed>()
    private val links = LinkHealth()
    private val turnedAway = TurnedAwayTable()

    fun setPools(profiles: List<PoolProfile>) {
        val services = profiles.map { it.service }.toSet()
        pools.keys.retainAll(services)
        profiles.forEach { profile -> pools.getOrPut(profile.service) { PoolQueue(profile) }.profile = profile }
    }

    fun setUpstreams(upstreams: List<PlacementTarget>) {
        val ids = upstreams.map { it.id }.toSet()
        loads.keys.retainAll(ids)
        upstreams.forEach { upstream ->
            val known = loads[upstream.id]
            if (known == null) loads[upstream.id] = UpstreamLoad(upstream) else known.upstream = upstream
        }
    }

    /** Places a request, or gives null when it waits; its decision then comes from a later call. */
    fun place(
        request: PlacementRequest,
        nowMs: Long,
    ): Placement? {
        val pool = pools[request.service] ?: return Refusing.noUpstream()
        val open = open(request)
        if (open.isEmpty() && !isLearning) return Refusing.noUpstream()
        val shortestMs = open.minOfOrNull { turnedAway.leftMs(request.instance, it.upstream.id, nowMs) } ?: 0
        if (shortestMs > 0) return Refusing.turnedAway(shortestMs)
        if (Refusing.isTooLarge(pool.profile, request)) return Refusing.tooLarge()
        if (!pool.hasBefore(request)) tryPlace(pool, request, nowMs)?.let { return it }
        val waitMs = pool.expectedWaitMs(request, nowMs)
        val patienceMs = Refusing.patienceMs(request)
        if (patienceMs == 0L) return Refusing.expired()
        if (waitMs > patienceMs && !isLearning) return Refusing.overloaded(waitMs)
        pool.add(request, nowMs + patienceMs, nowMs)
        return null
    }

    /** Takes note of a request that an instance has placed by itself. */
    fun recordPlacement(
        request: PlacementRequest,
        upstream: UpstreamId,
        nowMs: Long,
    ) {
        if (request.request in placed) return
        val load = loads[upstream] ?: return
        val profile = pools[request.service]?.profile?.engine
        val readMs = profile?.readMs(request.promptTokens) ?: 0.0
        record(request, EngineSplit(listOf(load), readMs, 0.0), nowMs)
    }

    fun reportEnd(
        result: PlacementResult,
        nowMs: Long,
    ): List<PlacementDecision> {
        val record = placed[result.request]
        loads[result.upstream]?.let { note(it, result, nowMs) }
        result.turnedAway?.let { turnedAway.note(result.upstream, it, nowMs) }
        if (record == null || record.head != result.upstream) return emptyList()
        free(record, nowMs)
        val pool = pools[record.request.service] ?: return emptyList()
        pool.noteEnd(nowMs)
        return dispatch(pool, nowMs)
    }

    /** The client of a waiting request has left. */
    fun withdraw(
        request: RequestId,
        nowMs: Long,
    ): List<PlacementDecision> {
        pools.values.forEach { it.remove(request) }
        placed[request]?.let { free(it, nowMs) }
        return pools.values.flatMap { dispatch(it, nowMs) }
    }

    /** Frees all that was placed for instances that are gone; their connections, and so their requests, have ended. */
    fun forget(
        isGone: (InstanceId) -> Boolean,
        nowMs: Long,
    ) {
        placed.values.filter { isGone(it.request.instance) }.forEach { free(it, nowMs) }
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
        placed.values
            .filter {
                it.request.instance == instance && it.request.request !in running &&
                    nowMs - it.placedMs > ANSWER_MS
            }.forEach { free(it, nowMs) }
    }

    /** Dispatches what has room by now, refuses what waited too long, and forgets what was never reported as ended. */
    fun tick(nowMs: Long): List<PlacementDecision> {
        placed.values.filter { nowMs > it.untilMs }.forEach { free(it, nowMs) }
        return pools.values.flatMap { pool ->
            val expired = pool.takeExpired(nowMs).map { PlacementDecision(it, Refusing.expired()) }
            expired + dispatch(pool, nowMs)
        }
    }

    fun runningOn(upstream: UpstreamId): Int = loads[upstream]?.running ?: 0

    val waiting: Int get() = pools.values.sumOf { it.size }

    private fun dispatch(
        pool: PoolQueue,
        nowMs: Long,
    ): List<PlacementDecision> {
        if (pool.size == 0) return emptyList()
        val decisions = ArrayList<PlacementDecision>()
        for (request in pool.inOrder()) {
            val granted = tryPlace(pool, request, nowMs) ?: continue
            pool.remove(request.request)
            decisions += PlacementDecision(request, granted)
        }
        return decisions
    }

    private fun tryPlace(
        pool: PoolQueue,
        request: PlacementRequest,
        nowMs: Long,
    ): Placement.Granted? {
        val candidates = candidates(pool.profile, request, nowMs)
        val engine = pool.profile.engine
        if (engine == null) return placePlain(candidates, request, nowMs)
        val waitedMs = request.elapsedMs + pool.waitedMs(request.request, nowMs)
        val split = EngineChoice(engine, candidates, request, nowMs, spreadSeed, waitedMs).choose() ?: return null
        record(request, split, nowMs)
        return granted(split)
    }

    /** The least loaded upstream, of the own failure domain when there are several. */
    private fun placePlain(
        candidates: List<UpstreamLoad>,
        request: PlacementRequest,
        nowMs: Long,
    ): Placement.Granted? {
        val free = candidates.filter { it.running < it.upstream.slots }
        val chosen =
            free.minWithOrNull(
                compareBy({ it.running }, { it.upstream.failureDomain != request.failureDomain }, { it.typicalMs }),
            ) ?: return null
        val single = EngineSplit(listOf(chosen), 0.0, chosen.typicalMs)
        record(request, single, nowMs)
        return granted(single)
    }

    /** Those that are silent, paused or excluded are used only when no other is open. */
    private fun candidates(
        profile: PoolProfile,
        request: PlacementRequest,
        nowMs: Long,
    ): List<UpstreamLoad> {
        val open =
            open(request).filter {
                !isAtColdLimit(it, profile, nowMs) && turnedAway.leftMs(request.instance, it.upstream.id, nowMs) == 0L
            }
        val reached =
            open
                .filter { !links.isCut(request.failureDomain, it.upstream.failureDomain, nowMs) }
                .ifEmpty { open }
        val own = if (hasPeerPlacers) reached.filter { it.upstream.failureDomain == request.failureDomain } else reached
        val near = own.ifEmpty { reached }
        val trusted = near.filter { !it.isPaused(nowMs) && !isDoubtful(it, nowMs) }
        return trusted.ifEmpty { near }
    }

    private fun open(request: PlacementRequest): List<UpstreamLoad> =
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
    ) = load.upstream.isSilent && nowMs - load.answeredMs > TRUST_AFTER_ANSWER_MS

    /** An upstream may turn cold without an announcement, so none gets more than a cold one carries. */
    private fun isAtColdLimit(
        load: UpstreamLoad,
        profile: PoolProfile,
        nowMs: Long,
    ) = profile.coldRequestsPerS > 0 && load.recentGrants(nowMs) >= profile.coldRequestsPerS * COLD_SHARE

    private fun record(
        request: PlacementRequest,
        split: EngineSplit,
        nowMs: Long,
    ) {
        // A request runs in one place at a time; word of the end of its last attempt may be under way still.
        placed[request.request]?.let { free(it, nowMs) }
        val gapMs = request.targetGapMs ?: Long.MAX_VALUE
        val headTokens = request.promptTokens + request.answerTokens - split.reservedTokens.values.sum()
        split.engines.forEachIndexed { index, load ->
            val isHead = index == 0
            val memory = if (isHead) headTokens else split.reservedTokens[load] ?: 0L
            val job = UpstreamLoad.Job(isHead, split.partMs, memory, gapMs, nowMs, split.firstEventMs, request.weight)
            load.add(request.request, job, nowMs)
        }
        split.engines.forEach { links.used(request.failureDomain, it.upstream.failureDomain, nowMs) }
        val head =
            split.engines
                .first()
                .upstream.id
        placed[request.request] = Placed(request, head, split.engines, nowMs, nowMs + request.deadlineMs + END_GRACE_MS)
    }

    private fun free(
        record: Placed,
        nowMs: Long,
    ) {
        placed.remove(record.request.request)
        record.engines.forEach { it.remove(record.request.request, nowMs) }
    }

    private fun note(
        load: UpstreamLoad,
        result: PlacementResult,
        nowMs: Long,
    ) {
        val firstByteMs = result.firstByteMs
        when (result.outcome) {
            PlacementOutcome.FAILED, PlacementOutcome.GONE -> {
                load.failed(nowMs)
            }

            PlacementOutcome.UNREACHABLE -> {
                load.failed(nowMs)
                result.from?.let { links.unreachable(it, load.upstream, nowMs) }
            }

            PlacementOutcome.STALLED -> {
                load.stalled(nowMs)
            }

            PlacementOutcome.REFUSED -> {
                load.refused(nowMs)
            }

            PlacementOutcome.DONE, PlacementOutcome.CANCELLED -> {
                if (firstByteMs != null) {
                    load.answered(firstByteMs, nowMs)
                    result.from?.let { links.reached(it, load.upstream) }
                }
            }
        }
    }

    private fun granted(split: EngineSplit): Placement.Granted {
        val head = split.engines.first().upstream
        val helpers =
            split.engines.drop(1).map {
                PlacedHelper(it.upstream.id, it.upstream.address, split.reservedTokens[it] ?: 0L)
            }
        return Placement.Granted(head.id, head.address, helpers, split.firstEventMs.toLong())
    }

    private class Placed(
        val request: PlacementRequest,
        val head: UpstreamId,
        val engines: List<UpstreamLoad>,
        val placedMs: Long,
        val untilMs: Long,
    )

    private companion object {
        const val TRUST_AFTER_ANSWER_MS = 2_000L
        const val END_GRACE_MS = 1_000L

        /** Longer than an answer to a placement is under way. */
        const val ANSWER_MS = 500L
        const val COLD_SHARE = 0.9
    }
}
