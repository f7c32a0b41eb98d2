package samphirechute.routing.placing

import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.routing.limit.UpstreamLimits
import samphirechute.routing.pace.PaceTable
import samphirechute.routing.quarantine.RequestQuarantine
import kotlin.random.Random

/** The outcome of a request that was waiting: either granted or refused. */
data class PlacementDecision(
    val request: PlacementRequest,
    val placement: Placement,
)

/**
 * Decides for each request whether it is granted an upstream, waits in the queue of its service, or is refused.
 *
 * It owns the load of each upstream, the queue of each service, the granted requests that have not ended, and what is
 * known about unreachable failure domains. It has no clock: callers pass the current time. The coordinator uses one for
 * the requests of all instances. Each entry instance has its own and uses it while no coordinator answers.
 */
class Placer internal constructor(
    /**
     * When set, short prompts are spread over engines in an order derived from this seed instead of being packed.
     * Placers that don't share their state would otherwise all pack the same engine.
     */
    private val spreadSeed: Int?,
    private val limits: UpstreamLimits,
    private val quarantine: RequestQuarantine,
    private val rules: EngineRules,
    /** How much load each upstream is given. */
    val pace: PaceTable,
    private val createQueue: (PoolProfile) -> PoolQueue,
) {
    constructor(
        spreadSeed: Int? = null,
        limits: UpstreamLimits = UpstreamLimits(),
        quarantine: RequestQuarantine = RequestQuarantine(InstanceId("placer")),
        policy: PlacingPolicy = PlacingPolicy(),
        pace: PaceTable = PaceTable(Random(spreadSeed ?: 0), policy.isPaceAdaptive) { limits.placerCount },
    ) : this(
        spreadSeed,
        limits,
        quarantine,
        if (policy.isSelectionAdaptive) EngineRules.ADAPTIVE else EngineRules.FIXED,
        pace,
        if (policy.isQueueByWork) ::WorkQueue else ::CountedQueue,
    )

    /**
     * True while other placers grant the same upstreams, as happens without a leader. Requests then stay in their own
     * failure domain if it has upstreams: each upstream is shared by fewer placers, and none is behind a network
     * partition.
     */
    var hasPeerPlacers = spreadSeed != null

    /**
     * True after a start, until all upstreams have had time to announce themselves; requests wait instead of being
     * refused.
     */
    var isLearning = false

    /** True if this placer alone decides when a request in quarantine is sent to see whether it still crashes upstreams. */
    var mayProbe = false
    private val pools = HashMap<ServiceName, PoolQueue>()
    private val mixes = HashMap<ServiceName, PrefillMix>()
    private val accounts = PlacementAccounts(quarantine, pace, rules)
    private val turnedAway = TurnedAwayTable()
    private val candidates = CandidateSelector(accounts, limits, turnedAway, pace) { hasPeerPlacers }
    private val admission = Admission(candidates, limits, quarantine, turnedAway)
    private val queueing = QueueAdmission(candidates)

    /** Receives the decisions on the queues. */
    var queueObserver: QueueObserver by queueing::observer

    /** Replaces the configured services. Services that remain keep their queues. */
    fun setPools(profiles: List<PoolProfile>) {
        val services = profiles.map { it.service }.toSet()
        pools.keys.retainAll(services)
        mixes.keys.retainAll(services)
        profiles.forEach { profile -> pools.getOrPut(profile.service) { createQueue(profile) }.profile = profile }
    }

    /** Replaces the known upstreams. Upstreams that remain keep their load. */
    fun setUpstreams(upstreams: List<PlacementTarget>) {
        accounts.setUpstreams(upstreams)
        val domains = if (spreadSeed == null) 1 else upstreams.distinctBy { it.failureDomain }.size
        pace.retain(upstreams.map { it.id }.toSet(), domains)
    }

    /**
     * Returns the decision on a request, or null if it was queued; its decision is then returned by a later call.
     *
     * Requests that are in quarantine or that cannot be served, and those whose upstreams have all turned the
     * instance away, are refused first.
     * So are those that the limits of their upstreams would keep waiting for too long.
     * Others are tried at once, unless a waiting request precedes them. What cannot be placed now is queued, but only
     * if it is expected to be served before its caller gives up.
     */
    fun place(
        request: PlacementRequest,
        nowMs: Long,
    ): Placement? {
        val pool = pools[request.service] ?: return RefusalPolicy.noUpstream()
        admission.refuse(pool, request, isLearning, mayProbe, nowMs)?.let { return it }
        recordDemand(pool.profile, request, nowMs)
        if (!pool.hasPrecedingRequest(request, nowMs)) tryPlace(pool, request, nowMs)?.let { return it }
        return queueing.enqueue(pool, request, isLearning, nowMs)
    }

    /**
     * Records a request that another placer has granted, unless it is recorded already. It counts against the limit of
     * the upstream if it [isJustSent].
     */
    fun recordPlacement(
        request: PlacementRequest,
        upstream: UpstreamId,
        nowMs: Long,
        isJustSent: Boolean = false,
    ) {
        if (request.request in accounts) return
        val load = accounts[upstream] ?: return
        val profile = pools[request.service]?.profile?.engine
        val prefillMs = profile?.prefillMs(request.promptTokens) ?: 0.0
        accounts.commit(request, EngineSplit(listOf(load), prefillMs, 0.0), nowMs)
        pools[request.service]?.recordGrant(request, nowMs)
        if (isJustSent) limits.charge(upstream, nowMs)
        pace.recordGrant(upstream, coldPerS(request.service), request.promptTokens, isOwn = false, nowMs)
    }

    /** Releases a request that has ended and returns decisions on waiting requests that can use the free capacity. */
    fun reportEnd(
        result: PlacementResult,
        nowMs: Long,
    ): List<PlacementDecision> {
        accounts.recordOutcome(result, nowMs)
        result.turnedAway?.let { turnedAway.record(result.upstream, it, nowMs) }
        val placedMs = accounts.placedMs(result.request)
        val ended = accounts.end(result.request, result.upstream, nowMs) ?: return emptyList()
        val pool = pools[ended.service] ?: return emptyList()
        pool.recordEnd(nowMs - (placedMs ?: nowMs), nowMs)
        return dispatch(pool, nowMs)
    }

    /** Removes a request whose caller has left or that is placed elsewhere, and returns decisions that this allows. */
    fun withdraw(
        request: RequestId,
        nowMs: Long,
    ): List<PlacementDecision> {
        pools.values.forEach { queueing.withdraw(it, request, nowMs) }
        accounts.release(request, nowMs)
        return pools.values.flatMap { dispatch(it, nowMs) }
    }

    /** Releases the requests of instances that are gone; those ended when the connections of the instance closed. */
    fun forget(
        isGone: (InstanceId) -> Boolean,
        nowMs: Long,
    ) {
        accounts.forget(isGone, nowMs)
    }

    /**
     * Releases the requests of [instance] that are not among [running]. A coordinator that becomes leader again still
     * has requests that ended while another one led. Recent grants are kept, since the instance may not have received
     * them.
     */
    fun retain(
        instance: InstanceId,
        running: Set<RequestId>,
        nowMs: Long,
    ) {
        accounts.retain(instance, running, nowMs)
    }

    /**
     * Returns decisions on waiting requests that now fit or have waited too long. Also releases requests whose end was
     * never reported, once their deadline has passed.
     */
    fun tick(nowMs: Long): List<PlacementDecision> {
        accounts.releaseOverdue(nowMs)
        return pools.values.filter { it.size > 0 }.flatMap { pool ->
            queueing.expire(pool, nowMs) + dispatch(pool, nowMs) + queueing.refuseHopeless(pool, isLearning, nowMs)
        }
    }

    /** Returns the engines with long prompts left to prefill, for instances that may have to place by themselves. */
    fun busyUpstreams(nowMs: Long): List<BusyUpstream> = accounts.busyUpstreams(nowMs)

    /** Takes in the list of a coordinator, which replaces the one before. */
    fun setBusyUpstreams(
        busy: List<BusyUpstream>,
        nowMs: Long,
    ) = accounts.setBusyUpstreams(busy, nowMs)

    /** Returns the number of requests that [upstream] answers; prompts that it only helps with are not counted. */
    fun runningOn(upstream: UpstreamId): Int = accounts[upstream]?.running ?: 0

    /** The number of queued requests of all services. */
    val waiting: Int get() = pools.values.sumOf { it.size }

    private fun dispatch(
        pool: PoolQueue,
        nowMs: Long,
    ): List<PlacementDecision> {
        if (pool.size == 0) return emptyList()
        val decisions = ArrayList<PlacementDecision>()
        val blocking = ArrayList<PlacementRequest>()
        for (request in pool.inOrder()) {
            val isBlocked = blocking.any { pool.isBlocked(request, it) }
            val placement =
                admission.refuseQuarantined(request, mayProbe, nowMs)
                    ?: if (isBlocked) null else tryPlace(pool, request, nowMs)
            if (placement != null) {
                decisions += queueing.dequeue(pool, request, placement, nowMs)
            } else if (pool.isBlocking(request, nowMs)) {
                blocking += request
            }
        }
        return decisions
    }

    private fun tryPlace(
        pool: PoolQueue,
        request: PlacementRequest,
        nowMs: Long,
    ): Placement.Granted? {
        if (quarantine.isDecisionDue(request.traits, nowMs)) return null
        val upstreams = candidates.candidates(pool.profile, request, nowMs)
        val engine = pool.profile.engine
        if (engine == null) return placePlain(upstreams, request, nowMs)?.let { questioned(it, request, nowMs) }
        val waitedMs = request.elapsedMs + pool.waitedMs(request.request, nowMs)
        val maxPrefillEngines = mixOf(request.service).maxPrefillEngines(upstreams.size)
        val split =
            EngineSelector(
                engine,
                upstreams,
                request,
                nowMs,
                spreadSeed,
                waitedMs,
                ::isLimited,
                maxPrefillEngines,
                rules.splitRisk,
                accounts.ofService(request.service),
            ).select() ?: return null
        grant(request, split, nowMs)
        return questioned(toGranted(split), request, nowMs)
    }

    private fun mixOf(service: ServiceName) = mixes.getOrPut(service) { rules.newMix() }

    private fun recordDemand(
        profile: PoolProfile,
        request: PlacementRequest,
        nowMs: Long,
    ) {
        val prefillMs = profile.engine?.prefillMs(request.promptTokens) ?: return
        mixOf(request.service).recordDemand(prefillMs, EngineSelector.isShort(prefillMs), nowMs)
    }

    /** Marks a grant whose answer is evidence for or against a quarantine. */
    private fun questioned(
        granted: Placement.Granted,
        request: PlacementRequest,
        nowMs: Long,
    ): Placement.Granted {
        val found = quarantine.find(request.traits, nowMs)
        found?.let { quarantine.recordProbe(it, nowMs) }
        return granted.copy(isWatched = quarantine.isInQuestion(request.traits), isProbe = found != null)
    }

    /**
     * Chooses the upstream with the fewest requests; ties go to the failure domain of the request, then to the fastest.
     */
    private fun placePlain(
        upstreams: List<UpstreamLoad>,
        request: PlacementRequest,
        nowMs: Long,
    ): Placement.Granted? {
        val free = upstreams.filter { it.running < it.upstream.slots }
        val chosen =
            free.minWithOrNull(
                compareBy({ it.running }, { it.upstream.failureDomain != request.failureDomain }, { it.averageMs }),
            ) ?: return null
        val single = EngineSplit(listOf(chosen), 0.0, chosen.averageMs)
        grant(request, single, nowMs)
        return toGranted(single)
    }

    /** Returns whether the service has an open upstream that is not among [excluded] and may get a request now. */
    fun hasOpen(
        service: ServiceName,
        excluded: Set<UpstreamId>,
        nowMs: Long,
    ): Boolean = candidates.hasOpen(service, excluded, nowMs)

    private fun isLimited(load: UpstreamLoad) = limits[load.upstream.id] != null

    private fun grant(
        request: PlacementRequest,
        split: EngineSplit,
        nowMs: Long,
    ) {
        accounts.commit(request, split, nowMs)
        pools[request.service]?.recordGrant(request, nowMs)
        split.engines.forEach {
            limits.charge(it.upstream.id, nowMs)
            val partTokens = request.promptTokens / split.engines.size
            pace.recordGrant(it.upstream.id, coldPerS(request.service), partTokens, isOwn = true, nowMs)
        }
    }

    private fun coldPerS(service: ServiceName) = pools[service]?.profile?.coldRequestsPerS ?: 0.0

    private fun toGranted(split: EngineSplit): Placement.Granted {
        val head = split.engines.first().upstream
        val helpers =
            split.engines.drop(1).map {
                PlacedHelper(it.upstream.id, it.upstream.address, split.reservedTokens[it] ?: 0L)
            }
        val limitsPerS =
            split.engines
                .mapNotNull { limits[it.upstream.id] }
                .mapNotNull { evidence -> evidence.requestsPerS?.let { evidence.upstream to it } }
                .toMap()
        return Placement.Granted(head.id, head.address, helpers, split.firstEventMs.toLong(), limitsPerS)
    }
}
