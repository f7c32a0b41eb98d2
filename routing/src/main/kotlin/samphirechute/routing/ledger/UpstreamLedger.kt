package samphirechute.routing.ledger

import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantPart
import samphirechute.routing.UpstreamKind
import samphirechute.routing.UpstreamReport
import kotlin.math.max

/**
 * What a coordinator knows of one upstream: its last report, the grants given for it, and the load that follows from
 * both. Prefill is kept as the time at which it will be done, for the work that goes first (short prompts) and for
 * all work, since such times stay right while nothing happens. Where the report and the grants differ, the upstream
 * counts as loaded with the higher of the two.
 */
internal class UpstreamLedger(
    var report: UpstreamReport,
    var reportedMs: Long,
    private val limits: LedgerLimits,
) {
    val id: UpstreamId get() = report.upstream
    val isEngine: Boolean get() = report.kind == UpstreamKind.ENGINE
    val limit = SlowStartLimit(report.capacity)
    val unleased = UnleasedMemory(limits)

    /** The time at which the short prefill given so far is done, and that of all prefill. */
    var shortDoneMs = 0.0
        private set
    var allDoneMs = 0.0
        private set

    var isDrained = false

    /** Set when an attempt failed; the next report clears it. */
    var isSuspect = false

    /** True while the head of the gang queue collects this engine: it takes no new long work. */
    var isReservedForGang = false

    /** Place in [UpstreamRanking]; changed only while the upstream is in no rank. */
    var rankMs = UpstreamRanking.UNRANKED

    /** Learned time between tokens, for what is expected of the next request; 0 until one completed. */
    var tokenMs = 0.0
        private set

    /** Learned time to the first byte of a plain application; 0 until one completed. */
    var firstByteMs = 0.0
        private set

    /**
     * The time between tokens that a new request will see. What was learned in a slow phase does not count while
     * nothing runs, or requests would be refused for it and nothing new learned.
     */
    val predictedTokenMs: Double get() = if (running == 0) report.capacity.decodeStepMs else expectedTokenMs

    val expectedTokenMs: Double get() = max(tokenMs, report.capacity.decodeStepMs)

    private val parts = HashMap<GrantKey, LeasedPart>()
    private var leasedMemory = 0L
    private var leasedPrefill = 0L
    private var lastLeaseMs = Long.MIN_VALUE / 2
    private var unleasedRunning = 0
    private var lastLeaseChangeMs = reportedMs
    var longParts = 0
        private set

    var longMemory = 0L
        private set

    val leaseCount: Int get() = parts.size
    val running: Int get() = parts.size + unleased.endingCount + max(unleasedRunning, unleased.orphanCount)
    val usedMemory: Long get() = leasedMemory + unleased.tokens
    val freeMemory: Long get() = max(0L, report.capacity.memoryTokens - usedMemory)

    fun isUsable(nowMs: Long) = !isDrained && !isSuspect && !report.isLeaving && nowMs - reportedMs <= limits.silentMs

    fun isServing(nowMs: Long) = nowMs - reportedMs <= limits.silentMs

    fun hasLease(key: GrantKey) = key in parts

    fun hasRoomFor(
        memoryTokens: Long,
        prefillTokens: Long,
        nowMs: Long,
    ): Boolean {
        if (running >= limit.concurrency) return false
        if (!isEngine) return true
        if (memoryTokens > freeMemory) return false
        return leasedPrefill + prefillTokens <= limit.prefillTokens || mayExceedColdPrefill(nowMs)
    }

    /** Milliseconds of short prefill that remain, and of all prefill. */
    fun shortWaitMs(nowMs: Long) = max(0.0, shortDoneMs - nowMs)

    fun allWaitMs(nowMs: Long) = max(0.0, allDoneMs - nowMs)

    /** Prefill of [tokens] alone, and the step that gives the first token. */
    fun firstTokenMs(tokens: Long) = if (isEngine) prefillMs(tokens) + predictedTokenMs else predictedFirstByteMs

    private val predictedFirstByteMs: Double get() = if (running == 0) 0.0 else firstByteMs

    fun isPrefillingLong(nowMs: Long) = longParts > 0 && allDoneMs > nowMs

    fun prefillMs(tokens: Long) = tokens * MS_PER_SECOND / report.capacity.prefillTokensPerSecond

    fun lease(
        key: GrantKey,
        part: GrantPart,
        isLong: Boolean,
        nowMs: Long,
        isPrefilled: Boolean = false,
    ): LeasedPart {
        val prefillMs = if (isEngine && !isPrefilled) prefillMs(part.prefillTokens) else 0.0
        if (!isLong) shortDoneMs = max(shortDoneMs, nowMs.toDouble()) + prefillMs
        allDoneMs = max(allDoneMs, nowMs.toDouble()) + prefillMs
        val leased = LeasedPart(part, isLong, prefillMs, if (isLong) allDoneMs else shortDoneMs)
        parts[key] = leased
        leasedMemory += part.memoryTokens
        leasedPrefill += part.prefillTokens
        if (isLong) longParts++
        if (isLong) longMemory += part.memoryTokens
        lastLeaseMs = nowMs
        lastLeaseChangeMs = nowMs
        unleased.remove(key.requestId)
        return leased
    }

    /** Ends a lease. With [isReclaimed] its memory stays counted until the upstream reports that it is free. */
    fun end(
        key: GrantKey,
        isReclaimed: Boolean,
        nowMs: Long,
    ): LeasedPart? {
        val leased = parts.remove(key) ?: return null
        leasedMemory -= leased.part.memoryTokens
        leasedPrefill -= leased.part.prefillTokens
        if (leased.isLong) longParts--
        if (leased.isLong) longMemory -= leased.part.memoryTokens
        val unfinishedMs = (leased.prefillDoneMs - nowMs).coerceIn(0.0, leased.prefillMs)
        allDoneMs -= unfinishedMs
        if (!leased.isLong) shortDoneMs -= unfinishedMs
        lastLeaseChangeMs = nowMs
        if (isReclaimed) {
            unleased.addEnding(key.requestId, leased.part.memoryTokens, report.sequence, nowMs)
        } else {
            unleased.markReleased(key.requestId, nowMs)
        }
        return leased
    }

    /** Takes in a report. Returns false when it is older than the last one, and is dropped. */
    fun applyReport(
        next: UpstreamReport,
        isLearning: Boolean,
        nowMs: Long,
    ): Boolean {
        if (next.generation == report.generation && next.sequence <= report.sequence) return false
        if (next.generation < report.generation) return false
        if (next.generation > report.generation) startGeneration()
        report = next
        reportedMs = nowMs
        isSuspect = false
        limit.updateCapacity(next.capacity)
        unleased.applyReport(next, parts.keys.mapTo(HashSet()) { it.requestId }, leasedMemory, nowMs)
        correctLoad(isLearning, nowMs)
        return true
    }

    /** Corrects the load from the first report. */
    fun applyFirstReport(
        isLearning: Boolean,
        nowMs: Long,
    ) {
        unleased.applyReport(report, emptySet(), 0, nowMs)
        correctLoad(isLearning, nowMs)
    }

    /** What runs already was admitted by an earlier coordinator on evidence that this one does not have. */
    fun raiseLimitToLoad() = limit.raiseToLoad(max(parts.size, report.load.runningRequests), leasedPrefill)

    fun learnTokenMs(observedMs: Double) {
        tokenMs = if (tokenMs == 0.0) observedMs else tokenMs + LATENCY_WEIGHT * (observedMs - tokenMs)
    }

    fun learnFirstByteMs(observedMs: Double) {
        firstByteMs = if (firstByteMs == 0.0) observedMs else firstByteMs + LATENCY_WEIGHT * (observedMs - firstByteMs)
    }

    /** Forgets all grants: they were another coordinator's, or will be. */
    fun startEpoch() {
        isReservedForGang = false
        startGeneration()
    }

    /** Work from before a restart is gone, and so is everything learned. */
    private fun startGeneration() {
        parts.clear()
        leasedMemory = 0
        leasedPrefill = 0
        longParts = 0
        longMemory = 0
        limit.reset()
        unleased.clear()
        shortDoneMs = 0.0
        allDoneMs = 0.0
        unleasedRunning = 0
    }

    private fun correctLoad(
        isLearning: Boolean,
        nowMs: Long,
    ) {
        val load = report.load
        val recent = if (isLearning) 0 else unleased.recentlyReleasedCount(nowMs)
        unleasedRunning = max(0, load.runningRequests - parts.size - unleased.endingCount - recent)
        if (!isEngine) return
        val reportedMs = prefillMs(load.queuedPrefillTokens)
        val lagMs = if (isLearning) 0L else limits.reportLagMs
        // The report may be a lag old: what it adds counts only as far as the engine cannot have done it since.
        val atLeastMs = nowMs + reportedMs - lagMs
        if (atLeastMs > allDoneMs) {
            allDoneMs = atLeastMs
            if (longParts == 0) shortDoneMs = max(shortDoneMs, atLeastMs)
        }
        val isSettled = nowMs - lastLeaseMs > 2 * limits.reportLagMs
        if (isSettled && allDoneMs > nowMs + reportedMs) {
            allDoneMs = nowMs + reportedMs
            shortDoneMs = minOf(shortDoneMs, allDoneMs)
        }
    }

    private fun mayExceedColdPrefill(nowMs: Long) = running == 0 && nowMs - lastLeaseChangeMs >= limits.coldIdleMs

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val LATENCY_WEIGHT = 0.1
    }
}

/** The part of a grant on one upstream, with the time at which its prefill is expected to be done. */
internal class LeasedPart(
    val part: GrantPart,
    val isLong: Boolean,
    val prefillMs: Double,
    val prefillDoneMs: Double,
)
