package samphirechute.routing.ledger

import samphirechute.core.RequestId
import samphirechute.routing.UpstreamReport
import kotlin.math.max

/**
 * Memory on one upstream that no grant accounts for: that of ended grants which the upstream has not reported free,
 * that of requests which it holds although nobody leases them, and that which it reports without naming a request.
 */
internal class HeldMemory(
    private val limits: LedgerLimits,
) {
    private val ending = HashMap<RequestId, Ending>()
    private val orphans = HashMap<RequestId, Orphan>()
    private val released = LinkedHashMap<RequestId, Long>()
    private var unnamedTokens = 0L

    val endingCount: Int get() = ending.size
    val orphanCount: Int get() = orphans.size

    var tokens = 0L
        private set

    fun leased(id: RequestId) {
        ending.remove(id)
        orphans.remove(id)
        released.remove(id)
        count()
    }

    /** The upstream is done with this request; reports that still list it are late. */
    fun released(
        id: RequestId,
        nowMs: Long,
    ) {
        released[id] = nowMs
    }

    fun ending(
        id: RequestId,
        memoryTokens: Long,
        sequence: Long,
        nowMs: Long,
    ) {
        ending[id] = Ending(memoryTokens, sequence, nowMs)
        count()
    }

    fun recentlyReleased(nowMs: Long): Int {
        forgetReleased(nowMs)
        return released.size
    }

    fun reported(
        report: UpstreamReport,
        leased: Set<RequestId>,
        leasedTokens: Long,
        nowMs: Long,
    ) {
        forgetReleased(nowMs)
        val held = report.load.held
        // The first report after the cancellation may describe the time before it, so the second one counts.
        ending.entries.removeIf { (id, it) -> id !in held && report.sequence >= it.sequence + 2 }
        orphans.keys.removeIf { it !in held }
        for ((id, memory) in held) {
            if (id in ending || id in released || id in leased) continue
            orphans.getOrPut(id) { Orphan(nowMs) }.tokens = memory
        }
        // An engine that names no request reports the memory of the grants in its total.
        val named = if (held.isEmpty()) leasedTokens else held.values.sum()
        unnamedTokens = max(0L, report.load.usedMemoryTokens - named)
        count()
    }

    /** The requests that the upstream should be told to cancel now. */
    fun dueReclaims(nowMs: Long): List<RequestId> {
        if (ending.isEmpty() && orphans.isEmpty()) return emptyList()
        val due = ArrayList<RequestId>()
        for ((id, it) in ending) {
            if (nowMs - it.askedMs < limits.reclaimRepeatMs) continue
            it.askedMs = nowMs
            due += id
        }
        for ((id, it) in orphans) {
            if (nowMs - it.seenMs < limits.orphanMs || nowMs - it.askedMs < limits.reclaimRepeatMs) continue
            it.askedMs = nowMs
            due += id
        }
        return due
    }

    fun clear() {
        ending.clear()
        orphans.clear()
        released.clear()
        unnamedTokens = 0
        count()
    }

    private fun forgetReleased(nowMs: Long) {
        val oldest = released.values.iterator()
        while (oldest.hasNext() && nowMs - oldest.next() > 2 * limits.reportLagMs) oldest.remove()
    }

    private fun count() {
        tokens = unnamedTokens + ending.values.sumOf { it.tokens } + orphans.values.sumOf { it.tokens }
    }

    private class Ending(
        val tokens: Long,
        val sequence: Long,
        var askedMs: Long,
    )

    private class Orphan(
        val seenMs: Long,
    ) {
        var tokens = 0L
        var askedMs = Long.MIN_VALUE / 2
    }
}
