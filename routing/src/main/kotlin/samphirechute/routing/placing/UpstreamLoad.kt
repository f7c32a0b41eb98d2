package samphirechute.routing.placing

import samphirechute.core.RequestId
import kotlin.math.max

/**
 * What was placed on one upstream and has not ended. Reading is kept as the time at which all of it will be done, since
 * such a time stays right while nothing happens.
 */
internal class UpstreamLoad(
    var upstream: PlacementTarget,
) {
    private val jobs = LinkedHashMap<RequestId, Job>()
    private val recentGrantsMs = ArrayDeque<Long>()
    private var readDoneMs = 0.0

    /** The upstream takes nothing until then, after failures. */
    var pausedUntilMs = 0L
        private set
    private var failures = 0
    private var stalls = 0
    var answeredMs = Long.MIN_VALUE / 2
        private set

    /** Time to the first byte of a plain application, learned. */
    var typicalMs = 0.0
        private set

    var running = 0
        private set
    val helping: Int get() = jobs.size - running
    var memoryTokens = 0L
        private set

    /** Requests with pauses short enough to suffer from long reading beside them. */
    var strictWriters = 0
        private set

    /** The shortest pause that a request here may have; null when none runs. */
    fun shortestGapMs(): Long? = jobs.values.filter { it.isHead }.minOfOrNull { it.gapMs }

    /** The weight of the requests that write here and must not pause for [pauseMs]. */
    fun weightOfPausesBelow(pauseMs: Double): Double =
        jobs.values.filter { it.isHead && it.gapMs < pauseMs }.sumOf { it.weight }

    /** True while more is to be read than short requests bring. */
    fun isReadingLong(nowMs: Long) = readWaitMs(nowMs) > LONG_READ_MS

    fun readWaitMs(nowMs: Long) = max(0.0, readDoneMs - nowMs)

    /**
     * True when nothing is left to read. Reading begins with the next pass of those that write and ends within one, so it
     * may end a pass later than its work alone takes; a part that came earlier would be read first and delay it.
     */
    fun hasReadAll(
        profile: EngineProfile,
        nowMs: Long,
    ) = jobs.isEmpty() || nowMs >= readDoneMs + passMs(profile) + SETTLE_MS

    fun passMs(profile: EngineProfile) = profile.passMs(running, memoryTokens)

    fun isPaused(nowMs: Long) = nowMs < pausedUntilMs

    /** Grants within the last second. */
    fun recentGrants(nowMs: Long): Int {
        while (recentGrantsMs.isNotEmpty() && recentGrantsMs.first() <= nowMs - WINDOW_MS) recentGrantsMs.removeFirst()
        return recentGrantsMs.size
    }

    fun add(
        request: RequestId,
        job: Job,
        nowMs: Long,
    ) {
        jobs.put(request, job)?.let { count(it, -1) }
        count(job, 1)
        readDoneMs = max(readDoneMs, nowMs.toDouble()) + job.readMs
        if (job.isHead) recentGrantsMs += nowMs
    }

    fun remove(
        request: RequestId,
        nowMs: Long,
    ): Job? {
        val job = jobs.remove(request) ?: return null
        count(job, -1)
        if (jobs.isEmpty()) readDoneMs = nowMs.toDouble()
        return job
    }

    /** Counts are kept, since each choice among hundreds of engines asks for them many times. */
    private fun count(
        job: Job,
        change: Int,
    ) {
        memoryTokens += change * job.memoryTokens
        if (!job.isHead) return
        running += change
        if (job.gapMs <= STRICT_GAP_MS) strictWriters += change
    }

    fun answered(
        firstByteMs: Long,
        nowMs: Long,
    ) {
        answeredMs = nowMs
        failures = 0
        stalls = 0
        pausedUntilMs = 0
        typicalMs = if (typicalMs == 0.0) firstByteMs.toDouble() else typicalMs + WEIGHT * (firstByteMs - typicalMs)
    }

    /** Each further failure doubles the pause, so that a dead upstream costs few attempts. */
    fun failed(nowMs: Long) {
        failures++
        val pauseMs = minOf(FIRST_PAUSE_MS shl minOf(failures - 1, MAX_DOUBLINGS), LONGEST_PAUSE_MS)
        pausedUntilMs = max(pausedUntilMs, nowMs + pauseMs)
    }

    /** Many requests may stall on a busy upstream at once, which must not take it out for long. */
    fun stalled(nowMs: Long) {
        if (isPaused(nowMs)) return
        stalls++
        val pauseMs = minOf(STALL_PAUSE_MS shl minOf(stalls - 1, MAX_DOUBLINGS), LONGEST_STALL_PAUSE_MS)
        pausedUntilMs = nowMs + pauseMs
    }

    /** The upstream had no room, so what is known of its load is too low; it gets a moment. */
    fun refused(nowMs: Long) {
        pausedUntilMs = max(pausedUntilMs, nowMs + REFUSED_PAUSE_MS)
    }

    class Job(
        val isHead: Boolean,
        val readMs: Double,
        val memoryTokens: Long,
        val gapMs: Long,
        val placedMs: Long,
        val predictedMs: Double,
        /** What is lost when this request is late; longer prompts ask for more work and are worth more. */
        val weight: Double,
    )

    private companion object {
        /** First events came up to 40 ms later than predicted on quiet days, by the way and the engines' own work. */
        const val SETTLE_MS = 60L
        const val STRICT_GAP_MS = 250L
        const val LONG_READ_MS = 110.0
        const val WINDOW_MS = 1_000L
        const val WEIGHT = 0.2
        const val FIRST_PAUSE_MS = 400L
        const val STALL_PAUSE_MS = 250L
        const val LONGEST_STALL_PAUSE_MS = 2_000L
        const val REFUSED_PAUSE_MS = 100L
        const val LONGEST_PAUSE_MS = 5_000L
        const val MAX_DOUBLINGS = 4
    }
}
