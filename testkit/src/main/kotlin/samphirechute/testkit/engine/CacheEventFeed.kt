package samphirechute.testkit.engine

import samphirechute.core.engine.CacheEvents
import samphirechute.core.engine.PrefixEvent
import kotlin.random.Random

/** Reports cache events late, and loses some, in the way that engines do. Lost events leave a gap in the sequence. */
class CacheEventFeed(
    private val lagMs: Long,
    private val lossShare: Double,
    private val random: Random,
) {
    private val pending = ArrayDeque<Pair<Long, PrefixEvent>>()
    private var nextSequence = 0L

    fun add(
        event: PrefixEvent,
        nowMs: Long,
    ) {
        pending += nowMs to event
    }

    /** The events of the next report. */
    fun take(nowMs: Long): CacheEvents {
        var due = pending.takeWhile { it.first + lagMs <= nowMs }.map { it.second }
        repeat(due.size) { pending.removeFirst() }
        if (due.isNotEmpty() && random.nextDouble() < lossShare) {
            nextSequence += due.size
            due = emptyList()
        }
        val first = nextSequence
        nextSequence += due.size
        return CacheEvents(first, nextSequence, due)
    }
}
