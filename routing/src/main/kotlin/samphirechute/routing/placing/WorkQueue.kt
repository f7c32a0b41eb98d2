package samphirechute.routing.placing

import samphirechute.core.RequestId

/**
 * A queue that is ordered by priority and fairly between teams, and that knows the work ahead of each request.
 *
 * It addresses a load that exceeds the capacity for a while: a burst of long prompts, or one team that sends much more than the
 * others. Requests that cannot start in time are refused as soon as that is found, so that their callers can go elsewhere.
 * While nothing waits it changes nothing.
 */
internal class WorkQueue(
    override var profile: PoolProfile,
) : PoolQueue {
    private val waiting = LinkedHashMap<RequestId, QueuedRequest>()
    private val order = FairOrder()
    private val estimator = WaitEstimator()
    private val returns = ReturnSchedule()
    private var limitReturnMs = 0L
    private var nextSequence = 0L

    override val size: Int get() = waiting.size

    override fun add(
        request: PlacementRequest,
        untilMs: Long,
        nowMs: Long,
    ) {
        waiting[request.request] = queued(request, untilMs, nowMs)
        nextSequence++
    }

    override fun remove(request: RequestId) = waiting.remove(request) != null

    override fun waitedMs(
        request: RequestId,
        nowMs: Long,
    ): Long = waiting[request]?.let { nowMs - it.sinceMs } ?: 0

    override fun inOrder(): List<PlacementRequest> = order.sort(waiting.values).map { it.request }

    /** A shorter or equal prompt that goes first may need the same capacity; one that is blocked waits too. */
    override fun hasPrecedingRequest(
        request: PlacementRequest,
        nowMs: Long,
    ) = waiting.isNotEmpty() &&
        ahead(request).any {
            it.request.promptTokens <= request.promptTokens ||
                (isBlocking(it.request, nowMs) && isBlocked(request, it.request))
        }

    /**
     * A long prompt needs several engines without prefill at a time and would not get them while shorter ones go on to take each
     * engine that becomes free. Once it has waited for a share of its target, other prompts with a long prefill stay
     * behind it for as long as a few of them take. If it cannot be placed by then, it lacks something else.
     */
    override fun isBlocking(
        request: PlacementRequest,
        nowMs: Long,
    ): Boolean {
        val queued = waiting[request.request]?.takeIf { it.work.isHeavy } ?: return false
        val fromMs = queued.sinceMs + (BLOCK_AFTER_SHARE * request.targetMs).toLong()
        return nowMs in fromMs until fromMs + BLOCK_MS
    }

    override fun isBlocked(
        later: PlacementRequest,
        first: PlacementRequest,
    ) = later.promptTokens < first.promptTokens && work(later).isHeavy

    override fun expired(nowMs: Long) = waiting.values.filter { nowMs >= it.untilMs }.map { it.request }

    /**
     * Looks at the requests in their order, so that those of lower priority are found to be impossible first. The first request is
     * never among them: only what the queue grants shows that an estimate is wrong.
     */
    override fun removeHopeless(
        capacity: PoolCapacity,
        nowMs: Long,
    ): List<HopelessRequest> {
        val ahead = WorkAhead()
        val hopeless = ArrayList<HopelessRequest>()
        for (queued in order.sort(waiting.values)) {
            val expected = estimator.estimate(queued.work, ahead, capacity, nowMs)
            if (ahead.count > 0 && nowMs + expected.waitMs * CERTAIN_SHARE > queued.untilMs) {
                hopeless += HopelessRequest(queued.request, expected, nowMs - queued.sinceMs)
            } else {
                ahead.add(queued.work)
            }
        }
        hopeless.forEach { waiting.remove(it.request.request) }
        return hopeless
    }

    override fun recordGrant(
        request: PlacementRequest,
        nowMs: Long,
    ) {
        val queued = waiting[request.request]
        queued?.let { estimator.recordDrained(it.work) }
        order.recordGrant(queued ?: queued(request, nowMs, nowMs))
    }

    override fun recordEnd(
        heldMs: Long,
        nowMs: Long,
    ) = estimator.recordEnd(heldMs, nowMs)

    override fun observe(
        capacity: PoolCapacity,
        nowMs: Long,
    ) = estimator.observe(waiting.values, capacity, nowMs)

    override fun expectedWait(
        request: PlacementRequest,
        capacity: PoolCapacity,
        nowMs: Long,
    ): ExpectedWait {
        val ahead = WorkAhead()
        ahead(request).forEach { ahead.add(it.work) }
        return estimator.estimate(work(request), ahead, capacity, nowMs)
    }

    /**
     * Under lasting overload, all who wait do so for about as long as this allows. If that were until their callers give up, every
     * response would be late. A request that is late already, as after a failure, is served late or not at all.
     */
    override fun longestExpectedMs(
        request: PlacementRequest,
        maxWaitMs: Long,
    ): Long {
        if (request.hasBegun || request.elapsedMs >= request.targetMs) return maxWaitMs
        return minOf(maxWaitMs, (IN_TIME_SHARE * request.targetMs).toLong())
    }

    override fun countPreceding(request: PlacementRequest) = ahead(request).size

    override fun returnMs(
        request: PlacementRequest,
        expected: ExpectedWait,
        nowMs: Long,
    ) = returns.promise(request.priority, expected.waitMs, expected.intervalMs, nowMs)

    override fun promiseReturn(
        waitMs: Long,
        intervalMs: Long,
        nowMs: Long,
    ): Long {
        limitReturnMs = minOf(maxOf(limitReturnMs + intervalMs, nowMs + waitMs), nowMs + LONGEST_LIMIT_RETURN_MS)
        return limitReturnMs - nowMs
    }

    /** Returns the waiting requests that would go before [request], if it joined them now. */
    private fun ahead(request: PlacementRequest): List<QueuedRequest> {
        if (waiting.isEmpty()) return emptyList()
        val joining = queued(request, untilMs = 0, nowMs = 0)
        return order.sort(waiting.values.filter { it.request.request != request.request } + joining).takeWhile {
            it !==
                joining
        }
    }

    private fun queued(
        request: PlacementRequest,
        untilMs: Long,
        nowMs: Long,
    ) = QueuedRequest(request, nowMs, untilMs, work(request), nextSequence)

    private fun work(request: PlacementRequest) = RequestWork.of(profile.engine, request)

    private companion object {
        /** Share of its target that a request may be expected to wait; the rest is left for its prefill. */
        const val IN_TIME_SHARE = 0.7

        /** Share of its target after which a long prompt blocks shorter ones; what is left has to suffice for its prefill. */
        const val BLOCK_AFTER_SHARE = 0.25

        /** Longer than the prefill of three prompts of 45,000 tokens one after the other. */
        const val BLOCK_MS = 1_000L

        /** A waiting request is refused if even this share of its expected wait is too long. */
        const val CERTAIN_SHARE = 0.5

        /** Callers that limits of upstreams keep waiting are sent away for no longer than this. */
        const val LONGEST_LIMIT_RETURN_MS = 30_000L
    }
}
