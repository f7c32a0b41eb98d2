package samphirechute.routing.quarantine

import samphirechute.core.RequestTrait
import kotlin.math.abs

/**
 * The ends of upstreams that whole requests were on, whether or not the upstream had begun to answer them.
 *
 * That an upstream has begun a stream shows only by the head of its answer, which some send before they begin and others
 * with the first event. The first kind tells a request that crashes an upstream from its neighbors, which only wait there;
 * [SuspectTable] relies on it. At the second kind both look the same. But a neighbor is on few ends, as it has few attempts
 * and is answered in one of them, and a request that crashes whatever runs it is on the end of each. So one that was on
 * [ENDS] upstreams which ended at different times, without an answer since the first, is blamed.
 */
internal class RepeatedEnds(
    private val capacity: Int = SuspectTable.CAPACITY,
) {
    private val endsByRequest = LinkedHashMap<RequestTrait, ArrayList<Crash>>()

    /** Returns whether [trait] has been on so many ends that answers to it have to be reported. */
    fun isInQuestion(trait: RequestTrait): Boolean = (endsByRequest[trait]?.size ?: 0) >= WATCHED_ENDS

    /** Records the end of an upstream that [whole] was on. Of several at the same moment only one counts. */
    fun record(
        whole: RequestTrait,
        crash: Crash,
    ) {
        val ends = endsByRequest.getOrPut(whole) { ArrayList() }
        if (ends.any { abs(it.endedMs - crash.endedMs) <= SuspectTable.CLOCK_TOLERANCE_MS }) return
        if (ends.size == MAX_ENDS) ends.removeFirst()
        ends += crash
        if (endsByRequest.size > capacity) evict()
    }

    /** Clears [whole] after an answer to it that was sent at [sentMs], later than its first end; returns whether it did. */
    fun clear(
        whole: RequestTrait,
        sentMs: Long,
    ): Boolean {
        val first = endsByRequest[whole]?.first() ?: return false
        if (sentMs <= first.endedMs - SuspectTable.CLOCK_TOLERANCE_MS) return false
        endsByRequest -= whole
        return true
    }

    /** Lets the ends for which [isRemoved] returns true no longer count, but for the requests in [kept]. */
    fun removeEnds(
        kept: Set<RequestTrait> = emptySet(),
        isRemoved: (Crash) -> Boolean,
    ) {
        endsByRequest.forEach { (whole, ends) -> if (whole !in kept) ends.removeAll(isRemoved) }
        endsByRequest.values.removeIf { it.isEmpty() }
    }

    /**
     * Returns the request that was on the most ends until [untilMs], with these, or null if they are too few or another
     * request was on all of them.
     */
    fun mostRepeated(untilMs: Long): Pair<RequestTrait, List<Crash>>? {
        val (whole, ends) = endsByRequest.maxByOrNull { it.value.size } ?: return null
        if (ends.count { it.endedMs <= untilMs } < ENDS) return null
        val isTied =
            endsByRequest.any { (other, others) -> other != whole && ends.all { end -> others.any(end::isSame) } }
        return (whole to ends.toList()).takeUnless { isTied }
    }

    /** Returns whether a request that is not among [request] was on all of [ends] and on more, so that it explains them better. */
    fun isBetterExplained(
        ends: List<Crash>,
        request: Set<RequestTrait>,
    ) = endsByRequest.any { (other, others) ->
        other !in request && others.size > ends.size && ends.all { end -> others.any(end::isSame) }
    }

    /** Returns whether [whole] has been on so many ends, the last of them since [sinceMs], that a decision on it is due. */
    fun isDecisionDue(
        whole: RequestTrait,
        sinceMs: Long,
    ): Boolean {
        val ends = endsByRequest[whole] ?: return false
        return ends.size >= ENDS && ends.last().endedMs >= sinceMs
    }

    val requests: Set<RequestTrait> get() = endsByRequest.keys

    fun remove(wholes: Set<RequestTrait>) {
        endsByRequest.keys -= wholes
    }

    fun forget(olderThanMs: Long) {
        endsByRequest.values.removeIf { it.last().endedMs < olderThanMs }
    }

    /** Forgets the request with the fewest ends, and of these the one that was on an end first. */
    private fun evict() {
        endsByRequest.entries.minByOrNull { it.value.size }?.let { endsByRequest -= it.key }
    }

    companion object {
        /** More than a request has attempts with its caller's one repeat, on a route with two: three repeats of two each. */
        const val ENDS = 6
        private const val MAX_ENDS = 32

        /** Neighbors are on fewer ends, and a report of each of their answers would say nothing. */
        private const val WATCHED_ENDS = 3
    }
}
