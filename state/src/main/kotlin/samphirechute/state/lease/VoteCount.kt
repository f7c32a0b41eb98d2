package samphirechute.state.lease

import samphirechute.core.InstanceId

/** The votes for one epoch, each with the time before it was asked for. */
internal class VoteCount(
    private val majority: Int,
) {
    private val askedAtMs = LinkedHashMap<Long, Long>()
    private val latestMs = mutableMapOf<InstanceId, Long>()

    fun asked(
        round: Long,
        nowMs: Long,
    ) {
        askedAtMs[round] = nowMs
        if (askedAtMs.size > MAX_ROUNDS) askedAtMs.remove(askedAtMs.keys.first())
    }

    fun count(
        voter: InstanceId,
        round: Long,
    ) {
        val atMs = askedAtMs[round] ?: return
        latestMs.merge(voter, atMs, ::maxOf)
    }

    /** When a majority of the votes no longer covers the lease; [Long.MIN_VALUE] without a majority. */
    fun endMs(): Long {
        if (latestMs.size < majority) return Long.MIN_VALUE
        return latestMs.values.sortedDescending()[majority - 1] + VOTE_MS - LEASE_MARGIN_MS
    }

    private companion object {
        /** Rounds older than a vote are of no use; at one in 500 ms this covers more than that. */
        const val MAX_ROUNDS = 8
    }
}
