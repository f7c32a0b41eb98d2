package samphirechute.routing.placing

import samphirechute.core.RequestId
import kotlin.math.max

/**
 * The load of one upstream in a [Placer]: the requests placed on it that have not ended, its predicted prefill, and the
 * pauses after failures. Prefill is stored as the time at which all of it will be done, which needs no update while
 * time passes.
 */
internal class UpstreamLoad(
    var upstream: PlacementTarget,
    private val speed: EngineSpeed = EngineSpeed.Nominal,
) {
    private val jobs = LinkedHashMap<RequestId, Job>()
    private val recentPrefill = ArrayDeque<Job>()
    private var prefillDoneMs = 0.0

    /** The same for prefill that others placed here, as the coordinator reported it. */
    private var reportedPrefillDoneMs = 0.0

    /** Until this time the upstream gets no requests, if others are open. Set after failures. */
    var pausedUntilMs = 0L
        private set
    private var failures = 0
    private var stalls = 0
    var lastAnswerMs = Long.MIN_VALUE / 2
        private set

    /** When a request last failed, stalled or could not be sent here. */
    var lastFailureMs = Long.MIN_VALUE / 2
        private set

    /** Moving average of the time to the first byte; used for plain applications. */
    var averageMs = 0.0
        private set

    /** The number of requests whose head this is. */
    var running = 0
        private set

    /** The number of prompts of which this only prefills a part. */
    val helping: Int get() = jobs.size - running
    var memoryTokens = 0L
        private set

    /** The number of decoding requests with a target gap so short that a long prefill beside them would break it. */
    var strictDecoders = 0
        private set

    /** Returns the shortest target gap of the requests that decode here, or null if there are none. */
    fun shortestGapMs(): Long? = jobs.values.filter { it.isHead }.minOfOrNull { it.gapMs }

    /** Returns the weight of the requests that decode here and whose target gap is shorter than [pauseMs]. */
    fun weightWithGapBelow(pauseMs: Double): Double {
        if (running == 0) return 0.0
        var weight = 0.0
        for (job in jobs.values) if (job.isHead && job.gapMs < pauseMs) weight += job.weight
        return weight
    }

    /** Returns whether more prefill remains than short prompts bring. */
    fun hasLongPrefill(nowMs: Long) = prefillWaitMs(nowMs) > LONG_PREFILL_MS

    /** Returns the time until all prefill placed here is done. */
    fun prefillWaitMs(nowMs: Long) = max(0.0, max(prefillDoneMs, reportedPrefillDoneMs) - nowMs)

    /** Takes in that a coordinator expects the prefill placed here by all instances to take [prefillMs] more. */
    fun recordReportedPrefill(
        prefillMs: Long,
        nowMs: Long,
    ) {
        reportedPrefillDoneMs = (nowMs + prefillMs).toDouble()
    }

    /**
     * Returns whether no prefill is left. A prefill begins with the next pass of the decoding requests and ends within
     * a pass, so it may end a pass later than its work alone takes. A part placed before that would be prefilled first
     * and delay it.
     */
    fun isPrefillDone(
        profile: EngineProfile,
        nowMs: Long,
    ): Boolean {
        if (nowMs < reportedPrefillDoneMs) return false
        return jobs.isEmpty() || nowMs >= prefillDoneMs + passMs(profile, nowMs) + SETTLE_MS
    }

    /** Returns the time of a pass at the speed of this engine. */
    fun passMs(
        profile: EngineProfile,
        nowMs: Long,
    ) = profile.passMs(running, memoryTokens) * speed.ratio(nowMs)

    /** Returns how much longer this engine takes than its profile predicts; 1 if no difference is known. */
    fun speedRatio(nowMs: Long) = speed.ratio(nowMs)

    fun isPaused(nowMs: Long) = nowMs < pausedUntilMs

    fun add(
        request: RequestId,
        job: Job,
        nowMs: Long,
    ) {
        jobs.put(request, job)?.let { adjustCounts(it, -1) }
        adjustCounts(job, 1)
        prefillDoneMs = max(prefillDoneMs, nowMs.toDouble()) + job.prefillMs
        if (job.prefillMs <= 0) return
        if (recentPrefill.size == MAX_RECENT_PREFILL) recentPrefill.removeFirst()
        recentPrefill += job
    }

    /**
     * Compares the time to the first event of a request with its prediction. Prefill that was placed here between the
     * two counts as predicted, since an engine prefills what comes later first.
     */
    fun recordFirstEvent(
        request: RequestId,
        observedMs: Long,
        share: Double,
        nowMs: Long,
    ) {
        val job = jobs[request] ?: return
        if (job.predictedMs <= 0) return
        val untilMs = job.placedMs + observedMs
        val later = recentPrefill.asReversed().takeWhile { it !== job && it.placedMs >= job.placedMs }
        val laterMs = later.sumOf { if (it.placedMs < untilMs) it.prefillMs else 0.0 }
        speed.recordFirstEvent(observedMs, (job.predictedMs + laterMs) / job.speedRatio, share, nowMs)
    }

    fun remove(
        request: RequestId,
        nowMs: Long,
    ): Job? {
        val job = jobs.remove(request) ?: return null
        adjustCounts(job, -1)
        if (jobs.isEmpty()) prefillDoneMs = nowMs.toDouble()
        return job
    }

    /** Totals are stored because each selection among hundreds of engines reads them many times. */
    private fun adjustCounts(
        job: Job,
        change: Int,
    ) {
        memoryTokens += change * job.memoryTokens
        if (!job.isHead) return
        running += change
        if (job.gapMs <= STRICT_GAP_MS) strictDecoders += change
    }

    fun recordAnswer(
        firstByteMs: Long,
        nowMs: Long,
    ) {
        lastAnswerMs = nowMs
        failures = 0
        stalls = 0
        pausedUntilMs = 0
        averageMs = if (averageMs == 0.0) firstByteMs.toDouble() else averageMs + SMOOTHING * (firstByteMs - averageMs)
    }

    /** Pauses the upstream. Each further failure doubles the pause, so that a dead upstream costs few attempts. */
    fun recordFailure(nowMs: Long) {
        failures++
        lastFailureMs = nowMs
        val pauseMs = minOf(FIRST_PAUSE_MS shl minOf(failures - 1, MAX_DOUBLINGS), LONGEST_PAUSE_MS)
        pausedUntilMs = max(pausedUntilMs, nowMs + pauseMs)
    }

    /**
     * Pauses the upstream, but only once for requests that stall together: a busy upstream must not be out for long.
     */
    fun recordStall(nowMs: Long) {
        lastFailureMs = nowMs
        if (isPaused(nowMs)) return
        stalls++
        val pauseMs = minOf(STALL_PAUSE_MS shl minOf(stalls - 1, MAX_DOUBLINGS), LONGEST_STALL_PAUSE_MS)
        pausedUntilMs = nowMs + pauseMs
    }

    /** Pauses the upstream briefly: it had no capacity, so the load recorded here is too low. */
    fun recordRefusal(nowMs: Long) {
        pausedUntilMs = max(pausedUntilMs, nowMs + REFUSED_PAUSE_MS)
    }

    /** The share of one request that is placed on this upstream. */
    class Job(
        val isHead: Boolean,
        val prefillMs: Double,
        val memoryTokens: Long,
        val gapMs: Long,
        val placedMs: Long,
        /** Predicted time until this engine has done its part and sends events, at [speedRatio]; 0 if unknown. */
        val predictedMs: Double,
        /** See [PlacementRequest.weight]. */
        val weight: Double,
        /** The ratio that was assumed for the prediction, see [EngineSpeed]. */
        val speedRatio: Double = 1.0,
    )

    private companion object {
        /**
         * First events arrive up to 40 ms later than predicted under light load, due to network and engine overhead.
         */
        const val SETTLE_MS = 60L

        /** Target gaps up to this are broken by a long prefill. */
        const val STRICT_GAP_MS = 250L

        /** The longest prefill of a short prompt. */
        const val LONG_PREFILL_MS = 110.0

        /** More than an engine with 11 slots gets within the time to a first event. */
        const val MAX_RECENT_PREFILL = 64
        const val SMOOTHING = 0.2
        const val FIRST_PAUSE_MS = 400L
        const val STALL_PAUSE_MS = 250L
        const val LONGEST_STALL_PAUSE_MS = 2_000L
        const val REFUSED_PAUSE_MS = 100L
        const val LONGEST_PAUSE_MS = 5_000L
        const val MAX_DOUBLINGS = 4
    }
}
