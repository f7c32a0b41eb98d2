package samphirechute.routing.ledger

import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantPart
import samphirechute.routing.UpstreamKind
import samphirechute.routing.UpstreamReport
import kotlin.math.max

/**
 * The state of one upstream as its coordinator sees it: the last report, the grants on the upstream, and the load that
 * follows from both. Where report and grants differ, the higher load counts.
 *
 * The remaining prefill is stored as the time at which it will be done, separately for short prompts, which run first,
 * and for all prompts. Such times stay correct while nothing happens.
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

    /** The time at which the prefill of all short prompts will be done. */
    var shortDoneMs = 0.0
        private set

    /** The time at which all prefill will be done. */
    var allDoneMs = 0.0
        private set

    var isDrained = false

    /** True after an attempt failed, until the next report. */
    var isSuspect = false

    /** True while the engine is reserved for the head of the gang queue and takes no new long work. */
    var isHeldForGang = false

    /** The sort key in [UpstreamRanking]. Must change only while the upstream is in no ranking. */
    var rankMs = UpstreamRanking.UNRANKED

    /** The learned time between tokens; 0 until a request has completed. */
    var tokenMs = 0.0
        private set

    /** The learned time to the first byte of an application; 0 until a request has completed. */
    var firstByteMs = 0.0
        private set

    /**
     * The predicted time between tokens of a new request. The learned time is ignored while nothing runs: after a slow
     * phase, requests would otherwise be refused because of it, and no faster time could be learned.
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

    /** True when the upstream may be given new work. */
    fun isUsable(nowMs: Long) = !isDrained && !isSuspect && !report.isLeaving && nowMs - reportedMs <= limits.silentMs

    /** True when the upstream reports, even if it is drained, leaving or suspect. */
    fun isServing(nowMs: Long) = nowMs - reportedMs <= limits.silentMs

    fun hasLease(key: GrantKey) = key in parts

    /** True when the limits and the free memory allow one more request of this size. */
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

    /** The remaining prefill time of all short prompts. */
    fun shortWaitMs(nowMs: Long) = max(0.0, shortDoneMs - nowMs)

    /** The remaining time of all prefill. */
    fun allWaitMs(nowMs: Long) = max(0.0, allDoneMs - nowMs)

    /** The predicted time to the first token without backlog; on an engine, the prefill of [tokens] and one step. */
    fun firstTokenMs(tokens: Long) = if (isEngine) prefillMs(tokens) + predictedTokenMs else predictedFirstByteMs

    private val predictedFirstByteMs: Double get() = if (running == 0) 0.0 else firstByteMs

    fun isPrefillingLong(nowMs: Long) = longParts > 0 && allDoneMs > nowMs

    fun prefillMs(tokens: Long) = tokens * MS_PER_SECOND / report.capacity.prefillTokensPerSecond

    /** Accounts for a grant's part on this upstream. With [isPrefilled] no prefill is added. */
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

    /** Ends a lease. With [isReclaimed] its memory counts as used until the upstream reports it free. */
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

    /** Applies a report. Returns false, and ignores it, when it is not newer than the last one. */
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

    /** Applies the load of the report that this ledger was created with. */
    fun applyFirstReport(
        isLearning: Boolean,
        nowMs: Long,
    ) {
        unleased.applyReport(report, emptySet(), 0, nowMs)
        correctLoad(isLearning, nowMs)
    }

    /** Raises the limit to the current load, which an earlier coordinator admitted by results unknown to this one. */
    fun raiseLimitToLoad() = limit.raiseToLoad(max(parts.size, report.load.runningRequests), leasedPrefill)

    fun learnTokenMs(observedMs: Double) {
        tokenMs = if (tokenMs == 0.0) observedMs else tokenMs + LATENCY_WEIGHT * (observedMs - tokenMs)
    }

    fun learnFirstByteMs(observedMs: Double) {
        firstByteMs = if (firstByteMs == 0.0) observedMs else firstByteMs + LATENCY_WEIGHT * (observedMs - firstByteMs)
    }

    /** Removes all grants. They belong to the epoch of another coordinator. */
    fun startEpoch() {
        isHeldForGang = false
        startGeneration()
    }

    /** Resets the load and the limit. The work from before a restart is gone. */
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
        // The report may be as old as the report lag, so the prefill that the engine can have done since is subtracted.
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

/** The part of a grant on one upstream, with the time at which its prefill is predicted to be done. */
internal class LeasedPart(
    val part: GrantPart,
    val isLong: Boolean,
    val prefillMs: Double,
    val prefillDoneMs: Double,
)
