package samphirechute.routing.flow

/**
 * Limits the retries of one instance to a share of its recent successes plus a small floor. When a third of the
 * fleet fails at once, the retries of its requests therefore add at most that share to the load of the rest.
 *
 * Successes and retries are counted in a sliding window of one-second slots. Retries are counted for a slot longer, so
 * that any ten seconds stay within the budget wherever in a slot they begin. All requests of an instance share one
 * budget. The last part of it, [keptShare], is left to requests whose loss costs callers the most.
 */
class RetryBudget(
    private val share: Double = DEFAULT_SHARE,
    private val keptShare: Double = 0.0,
    private val floor: () -> Int = { DEFAULT_FLOOR },
) {
    private val slots = Array(RETRY_SLOTS) { Slot() }

    fun recordSuccess(nowMs: Long) {
        slotAt(nowMs).successes++
    }

    /** Uses up one retry. Returns false when the budget is exhausted. */
    fun tryAcquire(
        nowMs: Long,
        isCostly: Boolean = true,
    ): Boolean {
        if (!hasRemaining(nowMs, isCostly)) return false
        slotAt(nowMs).retries++
        return true
    }

    /** Returns whether a retry is left, for a request that [isCostly] to lose or for another, besides [promised] ones. */
    fun hasRemaining(
        nowMs: Long,
        isCostly: Boolean = true,
        promised: Int = 0,
    ): Boolean {
        val allowed = allowed(nowMs)
        val kept = if (isCostly) 0 else (keptShare * allowed).toLong()
        return retries(nowMs) + promised < allowed - kept
    }

    /** Returns the retries that are left, for log lines and metrics. */
    fun left(nowMs: Long): Long = allowed(nowMs) - retries(nowMs)

    private fun retries(nowMs: Long) = slots.filter { it.index > nowMs / SLOT_MS - RETRY_SLOTS }.sumOf { it.retries }

    /** Rounded down, so that the sum over many instances stays within the share of all successes. */
    private fun allowed(nowMs: Long): Long {
        val successes = slots.filter { it.index > nowMs / SLOT_MS - SUCCESS_SLOTS }.sumOf { it.successes }
        return floor() + (share * successes).toLong()
    }

    private fun slotAt(nowMs: Long): Slot {
        val index = nowMs / SLOT_MS
        val slot = slots[index.mod(RETRY_SLOTS)]
        if (slot.index != index) {
            slot.index = index
            slot.successes = 0
            slot.retries = 0
        }
        return slot
    }

    private class Slot(
        var index: Long = Long.MIN_VALUE,
        var successes: Long = 0,
        var retries: Long = 0,
    )

    companion object {
        const val DEFAULT_SHARE = 0.1

        /** Lets an idle instance retry its few requests when it loses one upstream. */
        const val DEFAULT_FLOOR = 10
        private const val SLOT_MS = 1_000L
        private const val SUCCESS_SLOTS = 10
        private const val RETRY_SLOTS = SUCCESS_SLOTS + 1

        /** For how long a retry counts. */
        const val WINDOW_MS = RETRY_SLOTS * SLOT_MS
    }
}
