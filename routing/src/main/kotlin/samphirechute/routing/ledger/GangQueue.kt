package samphirechute.routing.ledger

import samphirechute.routing.GrantKey

/**
 * Queue of the prompts that are larger than the memory of one engine and need several, a gang. Owned by the pool.
 *
 * The engines of a gang are allocated all at once or not at all, so two gangs never wait for each other. Only the head
 * of the queue reserves engines. Reserved engines get no new long work and, after [LedgerLimits.gangExclusiveAfterMs],
 * no short work either, so that other work cannot starve the gang. Its wait is bounded.
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
        // A more urgent gang doesn't replace the head, whose reserved engines would otherwise be freed without use.
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

    /** True when the head has waited so long that its reserved engines get no short work either. */
    fun blocksShortWork(nowMs: Long) = queue.isNotEmpty() && nowMs - headSinceMs >= limits.gangExclusiveAfterMs

    /**
     * Selects the engines for the head of the queue, first the one that generates the answer. Returns null while the
     * available engines do not have enough memory together, and reserves engines for the head instead.
     */
    fun allocateHead(
        engines: List<UpstreamLedger>,
        nowMs: Long,
    ): GangChoice? {
        val head = queue.firstOrNull() ?: return null
        clearReservation()
        val usable = engines.filter { it.isEngine && it.isUsable(nowMs) && it.id !in head.request.excluded }
        val open = usable.filter { it.running < it.limit.concurrency && it.freeMemory > 0 }
        val chosen = selectEngines(open.sortedByDescending { it.freeMemory }, head.memoryTokens) { it.freeMemory }
        val primary = chosen?.filter { canBePrimary(it, head, nowMs) }?.minByOrNull { it.allWaitMs(nowMs) }
        if (chosen == null || primary == null) {
            val candidates = usable.sortedByDescending { memoryAfterLongWork(it) }
            reserved = selectEngines(candidates, head.memoryTokens) { memoryAfterLongWork(it) } ?: candidates
            reserved.forEach { it.isHeldForGang = true }
            return null
        }
        return GangChoice(head, listOf(primary) + (chosen - primary))
    }

    /** Removes and returns the gangs that have waited too long, or whose first token would come too late. */
    fun removeLate(nowMs: Long): List<WaitingRequest> {
        val late = queue.filter { nowMs - it.askedMs >= limits.gangWaitMs || nowMs >= it.firstTokenDeadlineMs }
        late.forEach { remove(it.key, nowMs) }
        return late
    }

    fun removeAll(): List<WaitingRequest> {
        clearReservation()
        return queue.toList().also { queue.clear() }
    }

    private fun canBePrimary(
        upstream: UpstreamLedger,
        head: WaitingRequest,
        nowMs: Long,
    ) = upstream.allWaitMs(nowMs) <= limits.maxLongBacklogMs && upstream.hasRoomFor(0, head.request.promptTokens, nowMs)

    /** The memory that the engine will have free once its long prompts are done. */
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
        reserved.forEach { it.isHeldForGang = false }
        reserved = emptyList()
    }
}

/** A gang that can run now: its request and its engines, first the one that generates the answer. */
internal class GangChoice(
    val waiting: WaitingRequest,
    val engines: List<UpstreamLedger>,
)
