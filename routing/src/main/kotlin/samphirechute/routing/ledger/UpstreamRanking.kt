package samphirechute.routing.ledger

import java.util.TreeSet

/**
 * The upstreams of one pool that have room, sorted by the time at which they will be ready. [UpstreamSelector] visits
 * only the first few, so the time of a decision grows with the logarithm of the number of upstreams.
 */
internal class UpstreamRanking {
    private val order = TreeSet<UpstreamLedger>(compareBy<UpstreamLedger> { it.rankMs }.thenBy { it.id.value })

    fun add(upstream: UpstreamLedger) {
        order += upstream
    }

    fun remove(upstream: UpstreamLedger) {
        order -= upstream
    }

    /** Visits at most [MAX_VISITS] upstreams in order, until [visit] returns false. */
    inline fun visit(visit: (UpstreamLedger) -> Boolean) {
        var visits = 0
        for (upstream in order) {
            if (visits++ >= MAX_VISITS || !visit(upstream)) return
        }
    }

    companion object {
        const val MAX_VISITS = 32

        /** Sorts engines that run a long prefill after all others, whatever their wait. */
        const val LONG_PENALTY_MS = 1e15

        /** The rank of an upstream that is unusable or has no room, and is therefore in no ranking. */
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
