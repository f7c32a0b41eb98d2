package samphirechute.state.lease

import samphirechute.core.InstanceId

/** The votes that a candidate or holder got for one epoch, each counted from the time before it was requested. */
internal class VoteCount(
    private val majority: Int,
) {
    private val roundStartMs = LinkedHashMap<Long, Long>()
    private val latestRoundMs = mutableMapOf<InstanceId, Long>()

    /** Call before the requests of [round] are sent. */
    fun recordRound(
        round: Long,
        nowMs: Long,
    ) {
        roundStartMs[round] = nowMs
        if (roundStartMs.size > MAX_ROUNDS) roundStartMs.remove(roundStartMs.keys.first())
    }

    /** Counts the answer of [voter] to the requests of [round]; ignored when the round is no longer known. */
    fun recordVote(
        voter: InstanceId,
        round: Long,
    ) {
        val atMs = roundStartMs[round] ?: return
        latestRoundMs.merge(voter, atMs, ::maxOf)
    }

    /** The time at which the lease ends unless it is renewed; [Long.MIN_VALUE] without a majority. */
    fun leaseEndMs(): Long {
        if (latestRoundMs.size < majority) return Long.MIN_VALUE
        return latestRoundMs.values.sortedDescending()[majority - 1] + VOTE_MS - LEASE_MARGIN_MS
    }

    private companion object {
        /** Rounds older than [VOTE_MS] are of no use. With one round every 500 ms, 8 rounds cover twice that time. */
        const val MAX_ROUNDS = 8
    }
}
