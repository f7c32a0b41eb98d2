package samphirechute.routing.ledger

import samphirechute.core.RequestId
import samphirechute.routing.UpstreamReport
import kotlin.math.max

/**
 * Accounts for the memory on one upstream that no current grant covers. Owned by [UpstreamLedger]. It consists of:
 * - memory of ended grants (`ending`) that the upstream has not reported as free yet,
 * - memory of requests without a grant (`orphans`), which are cancelled after a while,
 * - memory that the upstream reports in its total without naming a request.
 */
internal class UnleasedMemory(
    private val limits: LedgerLimits,
) {
    private val ending = HashMap<RequestId, EndingRequest>()
    private val orphans = HashMap<RequestId, OrphanRequest>()
    private val released = LinkedHashMap<RequestId, Long>()
    private var unnamedTokens = 0L

    val endingCount: Int get() = ending.size
    val orphanCount: Int get() = orphans.size

    var tokens = 0L
        private set

    /** Forgets a request that has a grant now, so that its memory is not counted twice. */
    fun remove(id: RequestId) {
        ending.remove(id)
        orphans.remove(id)
        released.remove(id)
        updateTotal()
    }

    /** Marks a request that the upstream has completed, so that late reports that still list it are ignored. */
    fun markReleased(
        id: RequestId,
        nowMs: Long,
    ) {
        released[id] = nowMs
    }

    /** Adds the memory of a grant that ended and is being cancelled. [sequence] is that of the last report. */
    fun addEnding(
        id: RequestId,
        memoryTokens: Long,
        sequence: Long,
        nowMs: Long,
    ) {
        ending[id] = EndingRequest(memoryTokens, sequence, nowMs)
        updateTotal()
    }

    fun recentlyReleasedCount(nowMs: Long): Int {
        removeOldReleased(nowMs)
        return released.size
    }

    fun applyReport(
        report: UpstreamReport,
        leased: Set<RequestId>,
        leasedTokens: Long,
        nowMs: Long,
    ) {
        removeOldReleased(nowMs)
        val held = report.load.held
        // The first report after a cancellation may still describe the time before it. The second one does not.
        ending.entries.removeIf { (id, it) -> id !in held && report.sequence >= it.sequence + 2 }
        orphans.keys.removeIf { it !in held }
        for ((id, memory) in held) {
            if (id in ending || id in released || id in leased) continue
            orphans.getOrPut(id) { OrphanRequest(nowMs) }.tokens = memory
        }
        // When an engine names no requests, its total is assumed to include the memory of the grants.
        val named = if (held.isEmpty()) leasedTokens else held.values.sum()
        unnamedTokens = max(0L, report.load.usedMemoryTokens - named)
        updateTotal()
    }

    /** The requests that the upstream is to cancel now, including repeats of earlier cancellations. */
    fun dueReclaims(nowMs: Long): List<RequestId> {
        if (ending.isEmpty() && orphans.isEmpty()) return emptyList()
        val due = ArrayList<RequestId>()
        for ((id, it) in ending) {
            if (nowMs - it.cancelSentMs < limits.reclaimRepeatMs) continue
            it.cancelSentMs = nowMs
            due += id
        }
        for ((id, it) in orphans) {
            if (nowMs - it.reportedMs < limits.orphanMs || nowMs - it.cancelSentMs < limits.reclaimRepeatMs) continue
            it.cancelSentMs = nowMs
            due += id
        }
        return due
    }

    fun clear() {
        ending.clear()
        orphans.clear()
        released.clear()
        unnamedTokens = 0
        updateTotal()
    }

    private fun removeOldReleased(nowMs: Long) {
        val oldest = released.values.iterator()
        while (oldest.hasNext() && nowMs - oldest.next() > 2 * limits.reportLagMs) oldest.remove()
    }

    private fun updateTotal() {
        tokens = unnamedTokens + ending.values.sumOf { it.tokens } + orphans.values.sumOf { it.tokens }
    }

    private class EndingRequest(
        val tokens: Long,
        val sequence: Long,
        var cancelSentMs: Long,
    )

    private class OrphanRequest(
        val reportedMs: Long,
    ) {
        var tokens = 0L
        var cancelSentMs = Long.MIN_VALUE / 2
    }
}
