package samphirechute.routing.placing

import kotlin.math.max

/**
 * Estimates how long a request waits from the work ahead of it.
 *
 * A prompt with a long prefill waits for the prefill that goes first, on the engines and in the queue, divided by the
 * engines that prefill, and corrected by the rate at which the queue drains. Other requests wait for as many ends of
 * requests as there are requests ahead, or for cold upstreams. Both wait for memory if it is short.
 */
internal class WaitEstimator {
    private val ends = EndRate()
    private val drain = DrainCorrection()
    private var waitingSinceMs: Long? = null

    fun recordEnd(
        heldMs: Long,
        nowMs: Long,
    ) = ends.record(heldMs, nowMs)

    /** Records that a request was granted that had waited. */
    fun recordDrained(work: RequestWork) {
        if (work.isHeavy) drain.recordDrained(work.prefillMs)
    }

    fun observe(
        waiting: Collection<QueuedRequest>,
        capacity: PoolCapacity,
        nowMs: Long,
    ) {
        waitingSinceMs = if (waiting.isEmpty()) null else waitingSinceMs ?: nowMs
        drain.observe(waiting.any { it.work.isHeavy }, capacity.prefillEngines.toDouble(), nowMs)
    }

    /** Returns the expected wait of [work] behind [ahead], in which the first of all waits for what runs only. */
    fun estimate(
        work: RequestWork,
        ahead: WorkAhead,
        capacity: PoolCapacity,
        nowMs: Long,
    ): ExpectedWait {
        val memoryMs = memoryWaitMs(work, ahead, capacity, nowMs)
        return if (work.isHeavy) {
            val rate = capacity.prefillEngines * drain.ratio()
            val workMs = ahead.prefillMs + capacity.prefillLeftMs
            expected(max(workMs / rate, memoryMs), ahead.count, workMs, work.prefillMs / rate)
        } else {
            val perMs = lightPerMs(ahead, capacity, nowMs)
            val waitMs = if (ahead.lightCount == 0) 0.0 else (ahead.lightCount + 1) / perMs
            expected(max(waitMs, memoryMs), ahead.count, ahead.lightCount.toDouble(), 1 / perMs)
        }
    }

    private fun lightPerMs(
        ahead: WorkAhead,
        capacity: PoolCapacity,
        nowMs: Long,
    ): Double {
        val endsPerMs = endsPerMs(capacity, nowMs)
        val coldPerS = capacity.coldPerS ?: return endsPerMs
        return if (capacity.freeSlots > ahead.lightCount) max(endsPerMs, coldPerS / MS_PER_SECOND) else endsPerMs
    }

    /** Returns the time until the memory that is missing is released, at the rate at which requests end. */
    private fun memoryWaitMs(
        work: RequestWork,
        ahead: WorkAhead,
        capacity: PoolCapacity,
        nowMs: Long,
    ): Double {
        val missing = work.memoryTokens + ahead.memoryTokens - capacity.freeTokens
        if (work.prefillMs == 0.0 || missing <= 0 || capacity.running == 0) return 0.0
        val meanTokens = capacity.usedTokens.toDouble() / capacity.running
        return missing / (max(meanTokens, 1.0) * endsPerMs(capacity, nowMs))
    }

    private fun endsPerMs(
        capacity: PoolCapacity,
        nowMs: Long,
    ) = ends.perMs(capacity.running, nowMs - (waitingSinceMs ?: nowMs), nowMs)

    private fun expected(
        waitMs: Double,
        position: Int,
        workAhead: Double,
        intervalMs: Double,
    ) = ExpectedWait(
        minOf(waitMs, LONGEST_WAIT_MS).toLong(),
        position,
        workAhead,
        minOf(intervalMs, LONGEST_WAIT_MS).toLong(),
    )

    private companion object {
        const val MS_PER_SECOND = 1_000.0

        /** Longer than any deadline; an estimate says nothing beyond it. */
        const val LONGEST_WAIT_MS = 60_000.0
    }
}

/** The waiting requests that go before one, summed up. */
internal class WorkAhead {
    var count = 0
        private set
    var lightCount = 0
        private set
    var prefillMs = 0.0
        private set
    var memoryTokens = 0L
        private set

    fun add(work: RequestWork) {
        count++
        memoryTokens += work.memoryTokens
        if (work.isHeavy) prefillMs += work.prefillMs else lightCount++
    }
}
