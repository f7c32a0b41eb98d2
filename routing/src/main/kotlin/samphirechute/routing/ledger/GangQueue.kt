package samphirechute.routing.ledger

import samphirechute.routing.GrantKey

/**
 * Prompts larger than one engine's memory. The engines of a gang are taken in one step, all or none, so that two
 * gangs never wait for each other. Only the head of the queue collects engines: it blocks new long work from them,
 * and short work too when it has waited for a while, so that other work cannot starve it. Its wait is bounded.
 */
internal class GangQueue(
    private val limits: LedgerLimits,
) {
    private val queue = ArrayList<WaitingRequest>()
    private var headSinceMs = 0L
    private var reserved = emptyList<UpstreamLedger>()

    val size: Int get() = queue.size
    val isEmpty: Boolean get() = queue.isEmpty()

    operator fun contains(key: GrantKey) = queue.any { it.key == key }

    fun add(
        waiting: WaitingRequest,
        nowMs: Long,
    ) {
        val at = queue.indexOfFirst { it.request.urgency > waiting.request.urgency }
        // The head keeps its place: what it reserved would be given back for nothing.
        if (at < 0) queue += waiting else queue.add(at.coerceAtLeast(1), waiting)
        if (queue.size == 1) headSinceMs = nowMs
    }

    fun remove(
        key: GrantKey,
        nowMs: Long,
    ): WaitingRequest? {
        val at = queue.indexOfFirst { it.key == key }
        if (at < 0) return null
        if (at == 0) {
            clearReservation()
            headSinceMs = nowMs
        }
        return queue.removeAt(at)
    }

    /** True when engines reserved for the head take no short work either. */
    fun blocksShortWork(nowMs: Long) = queue.isNotEmpty() && nowMs - headSinceMs >= limits.gangExclusiveAfterMs

    /** The engines for the head, the one that answers first; null while they do not have the memory together. */
    fun allocateHead(
        engines: List<UpstreamLedger>,
        nowMs: Long,
    ): GangChoice? {
        val head = queue.firstOrNull() ?: return null
        clearReservation()
        val usable = engines.filter { it.isEngine && it.isUsable(nowMs) && it.id !in head.request.excluded }
        val open = usable.filter { it.running < it.limit.concurrency && it.freeMemory > 0 }
        val chosen = selectEngines(open.sortedByDescending { it.freeMemory }, head.memoryTokens) { it.freeMemory }
        val primary = chosen?.filter { isPrimary(it, head, nowMs) }?.minByOrNull { it.allWaitMs(nowMs) }
        if (chosen == null || primary == null) {
            val byPotential = usable.sortedByDescending { memoryAfterLongWork(it) }
            reserved = selectEngines(byPotential, head.memoryTokens) { memoryAfterLongWork(it) } ?: byPotential
            reserved.forEach { it.isReservedForGang = true }
            return null
        }
        return GangChoice(head, listOf(primary) + (chosen - primary))
    }

    /** WaitingRequest gangs that have waited too long, or whose first token would come too late. */
    fun removeLate(nowMs: Long): List<WaitingRequest> {
        val late = queue.filter { nowMs - it.askedMs >= limits.gangWaitMs || nowMs >= it.firstTokenDeadlineMs }
        late.forEach { remove(it.key, nowMs) }
        return late
    }

    fun removeAll(): List<WaitingRequest> {
        clearReservation()
        return queue.toList().also { queue.clear() }
    }

    private fun isPrimary(
        upstream: UpstreamLedger,
        head: WaitingRequest,
        nowMs: Long,
    ) = upstream.allWaitMs(nowMs) <= limits.maxLongBacklogMs && upstream.hasRoomFor(0, head.request.promptTokens, nowMs)

    /** Memory that the engine will have free once its long work is done. */
    private fun memoryAfterLongWork(upstream: UpstreamLedger) = upstream.freeMemory + upstream.longMemory

    private inline fun selectEngines(
        engines: List<UpstreamLedger>,
        tokens: Long,
        memory: (UpstreamLedger) -> Long,
    ): List<UpstreamLedger>? {
        val chosen = ArrayList<UpstreamLedger>()
        var total = 0L
        for (engine in engines) {
            chosen += engine
            total += memory(engine)
            if (total >= tokens) return chosen
        }
        return null
    }

    private fun clearReservation() {
        reserved.forEach { it.isReservedForGang = false }
        reserved = emptyList()
    }
}

/** A gang that fits: its request, and its engines with the one that answers first. */
internal class GangChoice(
    val waiting: WaitingRequest,
    val engines: List<UpstreamLedger>,
)
