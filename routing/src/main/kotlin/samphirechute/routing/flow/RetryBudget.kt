package samphirechute.routing.flow

/**
 * Limits the retries of one instance to a share of its recent successes plus a small floor. When a third of the
 * fleet fails at once, the retries of its requests therefore add at most that share to the load of the rest.
 *
 * Successes and retries are counted in a sliding window of one-second slots. Retries are counted for a slot longer, so
 * that any ten seconds stay within the budget wherever in a slot they begin. All requests of an instance share one
 * budget.
 */
class RetryBudget(
    private val share: Double = DEFAULT_SHARE,
    private val floor: () -> Int = { DEFAULT_FLOOR },
) {
    private val slots = Array(RETRY_SLOTS) { Slot() }

    fun recordSuccess(nowMs: Long) {
        slotAt(nowMs).successes++
    }

    /** Uses up one retry. Returns false when the budget is exhausted. */
    fun tryAcquire(nowMs: Long): Boolean {
        if (!hasRemaining(nowMs)) return false
        slotAt(nowMs).retries++
        return true
    }

    fun hasRemaining(nowMs: Long): Boolean {
        val current = nowMs / SLOT_MS
        val retries = slots.filter { it.index > current - RETRY_SLOTS }.sumOf { it.retries }
        val successes = slots.filter { it.index > current - SUCCESS_SLOTS }.sumOf { it.successes }
        return retries < floor() + share * successes
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
    }
}
