package samphirechute.routing.ledger

import java.util.TreeSet

/**
 * The upstreams of one pool that have room, those that will be ready first in front. A choice looks at a few of them
 * instead of all, so that its time grows with the logarithm of their number.
 */
internal class UpstreamRanking {
    private val order = TreeSet<UpstreamLedger>(compareBy<UpstreamLedger> { it.rankMs }.thenBy { it.id.value })

    fun add(upstream: UpstreamLedger) {
        order += upstream
    }

    fun remove(upstream: UpstreamLedger) {
        order -= upstream
    }

    /** Visits upstreams in order until [visit] returns false, at most [MAX_VISITS]. */
    inline fun visit(visit: (UpstreamLedger) -> Boolean) {
        var visits = 0
        for (upstream in order) {
            if (visits++ >= MAX_VISITS || !visit(upstream)) return
        }
    }

    companion object {
        const val MAX_VISITS = 32

        /** Puts engines that run a long prefill behind all others, whatever their wait. */
        const val LONG_PENALTY_MS = 1e15

        /** The rank of an upstream without room, which is in no order. */
        const val UNRANKED = Double.MAX_VALUE

        fun rankOf(
            upstream: UpstreamLedger,
            nowMs: Long,
        ): Double =
            when {
                !upstream.isEngine -> upstream.running.toDouble()
                upstream.isPrefillingLong(nowMs) -> upstream.shortDoneMs + LONG_PENALTY_MS
                else -> upstream.shortDoneMs
            }
    }
}
