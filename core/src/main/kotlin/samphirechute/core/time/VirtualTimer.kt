package samphirechute.core.time

import java.util.PriorityQueue

/**
 * A timer service with virtual time, for tests and simulations. Time moves only in [advanceTo] and [advanceBy]; due
 * actions run in order of time, and at the same time in order of subscription.
 */
class VirtualTimer(
    startMs: Long = 0,
) : TimerService {
    private val queue = PriorityQueue<Entry>(compareBy({ it.dueMs }, { it.order }))
    private var currentMs = startMs
    private var nextOrder = 0L

    override fun nowMs() = currentMs

    override fun after(
        delayMs: Long,
        action: () -> Unit,
    ): Subscription = add(Entry(currentMs + delayMs.coerceAtLeast(0), nextOrder++, null, action))

    override fun every(
        periodMs: Long,
        action: () -> Unit,
    ): Subscription {
        require(periodMs > 0) { "period must be positive, was $periodMs ms" }
        return add(Entry(currentMs + periodMs, nextOrder++, periodMs, action))
    }

    /** Runs all actions due up to and including [targetMs], then sets the clock to [targetMs]. */
    fun advanceTo(targetMs: Long) {
        while (true) {
            val entry = queue.peek()?.takeIf { it.dueMs <= targetMs } ?: break
            queue.poll()
            run(entry)
        }
        currentMs = maxOf(currentMs, targetMs)
    }

    fun advanceBy(durationMs: Long) = advanceTo(currentMs + durationMs)

    private fun add(entry: Entry): Subscription {
        queue += entry
        return Subscription { entry.isCancelled = true }
    }

    private fun run(entry: Entry) {
        if (entry.isCancelled) return
        currentMs = maxOf(currentMs, entry.dueMs)
        entry.periodMs?.let { queue += entry.apply { dueMs += it } }
        entry.action()
    }

    private class Entry(
        var dueMs: Long,
        val order: Long,
        val periodMs: Long?,
        val action: () -> Unit,
        var isCancelled: Boolean = false,
    )
}
