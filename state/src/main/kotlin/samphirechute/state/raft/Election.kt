package samphirechute.state.raft

import samphirechute.state.raft.RaftMessage.PreVoteReply
import samphirechute.state.raft.RaftMessage.PreVoteRequest
import samphirechute.state.raft.RaftMessage.VoteReply
import samphirechute.state.raft.RaftMessage.VoteRequest

/**
 * Leader election with pre-votes, from the election timeout to the majority of votes. [RaftNode] passes it the ticks
 * and the messages about votes, and [onElected] is called when this member has won.
 *
 * A pre-vote asks whether a vote would be granted and does not raise the term. A member that has heard from a leader
 * within the shortest election timeout does not answer requests for votes; the leader's lease relies on this.
 */
internal class Election(
    private val member: Member,
    private val onElected: (lostDisks: Set<DiskIdentity>) -> Unit,
    private val onHigherTerm: (Long) -> Unit,
    private val isLeading: () -> Boolean,
) {
    /** The current pre-vote. Replies that arrive after the reply wait still count, because a pre-vote binds nobody. */
    private var preVoteCampaign: Campaign? = null

    /** The vote of the current term. Its votes count until the term ends. */
    private var voteCampaign: Campaign? = null
    private var nextCampaignMs = member.nowMs + member.firstElectionMs()

    /** Pre-vote rounds that this member has started since it last heard from a leader or won an election. */
    private var campaignCount = 0

    /** Restarts the election timeout: after granting a vote, moving to a later term or losing leadership. */
    fun resetTimeout() {
        preVoteCampaign = null
        voteCampaign = null
        nextCampaignMs = member.nowMs + member.electionTimeoutMs() * backoffFactor()
    }

    /** Resets the backoff and the election timeout, because there is a leader. */
    fun onLeaderContact() {
        campaignCount = 0
        resetTimeout()
    }

    /**
     * Starts a pre-vote when the election timeout, or the wait after a failed campaign, is over. Grants from a previous
     * pre-vote for the same term still count.
     */
    fun tick() {
        if (isLeading() || !member.isVoter || member.isLeaving || member.nowMs < nextCampaignMs) return
        // With a write pending, this member could not make its own vote durable in time.
        if (!member.disk.isIdle) return
        member.leader = null
        campaignCount++
        nextCampaignMs = retryAtMs(PRE_VOTE_REPLY_WAIT_MS)
        val grants = preVoteCampaign?.takeIf { it.term == member.term + 1 }?.grants.orEmpty()
        val next = Campaign(member.term + 1, grants)
        val quorum = member.quorum(member.lostDisks.known)
        member.emit(campaigning(next.term, isPreVote = true, grants.size, quorum))
        preVoteCampaign = next
        val log = member.log
        val lostDisks = quorum.lostDisks.toList()
        for (voter in quorum.voters - member.identity) {
            val request = PreVoteRequest(member.identity, next.term, log.lastIndex, log.lastTerm, voter, lostDisks)
            member.send(voter.instance, request)
        }
        countPreVote(member.identity)
    }

    /** Continues the current pre-vote, for which fewer grants may be enough now. */
    fun onDisksLost() = countPreVote(member.identity)

    fun onPreVoteRequest(request: PreVoteRequest) {
        // A member whose disk refuses writes could not make its vote durable.
        if (mustIgnoreCandidates() || member.disk.isRefusing) return
        val isEligible = request.term > member.term && isUpToDate(request.lastTerm, request.lastIndex)
        val isGranted = isEligible && !hasPriorityOver(request)
        // Yield to the other candidate: two simultaneous campaigns would split the votes and waste a round.
        if (isGranted) nextCampaignMs = maxOf(nextCampaignMs, member.nowMs + PRE_VOTE_REPLY_WAIT_MS * backoffFactor())
        val term = if (isGranted) request.term else member.term
        member.send(request.from.instance, PreVoteReply(member.identity, term, isGranted))
    }

    fun onPreVoteReply(reply: PreVoteReply) {
        when {
            reply.isGranted -> if (reply.term == preVoteCampaign?.term) countPreVote(reply.from)
            reply.term > member.term -> onHigherTerm(reply.term)
        }
    }

    fun onVoteRequest(request: VoteRequest) {
        if (mustIgnoreCandidates()) return
        if (request.term > member.term) onHigherTerm(request.term)
        val vote = member.hardState.votedFor
        val canVote = request.term == member.term && (vote == null || vote == request.from) && !isLeading()
        val isGranted = canVote && isUpToDate(request.lastTerm, request.lastIndex)
        if (isGranted) {
            member.saveHardState(member.hardState.copy(votedFor = request.from))
            resetTimeout()
        }
        member.sendWhenDurable(request.from.instance, VoteReply(member.identity, member.term, isGranted))
    }

    fun onVoteReply(reply: VoteReply) {
        if (reply.term > member.term) return onHigherTerm(reply.term)
        if (reply.isGranted && reply.term == voteCampaign?.term) countVote(reply.from)
    }

    /** Counts this member's own vote once it is durable. */
    fun onDiskDone(sequence: Long) {
        val current = voteCampaign ?: return
        if (sequence >= current.voteSequence) countVote(member.identity)
    }

    private fun countPreVote(voter: DiskIdentity) {
        val current = preVoteCampaign ?: return
        current.grants += voter
        val quorum = member.quorum(member.lostDisks.known)
        if (quorum.isReachedBy(current.grants)) startVote(quorum)
    }

    private fun countVote(voter: DiskIdentity) {
        val current = voteCampaign?.takeIf { it.term == member.term } ?: return
        current.grants += voter
        // The lost disks are those known when the votes were asked for, as [Quorum] requires.
        val lostDisks = current.lostDisks
        if (!member.quorum(lostDisks).isReachedBy(current.grants)) return
        preVoteCampaign = null
        voteCampaign = null
        campaignCount = 0
        onElected(lostDisks)
    }

    /** Starts the vote in the next term. The requests are sent only after this member's own vote is durable. */
    private fun startVote(quorum: Quorum) {
        val term = member.term + 1
        nextCampaignMs = retryAtMs(VOTE_REPLY_WAIT_MS)
        val votesBefore = voteCampaign?.grants?.size ?: 0
        member.emit(campaigning(term, isPreVote = false, votesBefore, quorum))
        member.saveHardState(HardState(term, member.identity))
        preVoteCampaign = null
        voteCampaign = Campaign(term, voteSequence = member.disk.lastIssued, lostDisks = quorum.lostDisks)
        for (voter in quorum.voters - member.identity) {
            val request = VoteRequest(member.identity, term, member.log.lastIndex, member.log.lastTerm, voter)
            member.sendWhenDurable(voter.instance, request)
        }
    }

    private fun campaigning(
        term: Long,
        isPreVote: Boolean,
        grantsBefore: Int,
        quorum: Quorum,
    ) = RaftOutput.Campaigning(term, isPreVote, grantsBefore, quorum.size, quorum.lostDisks)

    private fun retryAtMs(replyWaitMs: Long): Long {
        val spreadMs = member.random.nextLong(member.timings.retryMinMs, member.timings.retryMaxMs + 1)
        return member.nowMs + (replyWaitMs + spreadMs) * backoffFactor()
    }

    /**
     * The factor by which waits grow after failed campaigns. Overloaded members answer late; a new campaign that starts
     * while the answers to the previous one are still on their way wins no votes and adds to the load.
     */
    private fun backoffFactor(): Long =
        1L shl (DOUBLINGS_PER_CAMPAIGN * (campaignCount - CAMPAIGNS_BEFORE_BACKOFF)).coerceIn(0, MAX_DOUBLINGS)

    /**
     * Breaks the tie between two simultaneous pre-votes for the same term with equal logs: the instance with the lower
     * name continues until its reply wait is over.
     */
    private fun hasPriorityOver(request: PreVoteRequest): Boolean {
        val own = preVoteCampaign ?: return false
        val isSame = request.lastTerm == member.log.lastTerm && request.lastIndex == member.log.lastIndex
        return isSame && member.self.instance < request.from.instance &&
            own.term == request.term && member.nowMs < nextCampaignMs
    }

    private fun mustIgnoreCandidates() =
        isLeading() || member.nowMs - member.lastLeaderContactMs < member.timings.electionMinMs

    private fun isUpToDate(
        lastTerm: Long,
        lastIndex: Long,
    ) = compareValuesBy(
        lastTerm to lastIndex,
        member.log.lastTerm to member.log.lastIndex,
        { it.first },
        { it.second },
    ) >=
        0

    private class Campaign(
        val term: Long,
        grants: Set<DiskIdentity> = emptySet(),
        val voteSequence: Long = 0,
        val lostDisks: Set<DiskIdentity> = emptySet(),
    ) {
        val grants = grants.toMutableSet()
    }

    private companion object {
        /** How long to wait for replies. A vote takes longer, because the voter writes it to disk first. */
        const val PRE_VOTE_REPLY_WAIT_MS = 50L
        const val VOTE_REPLY_WAIT_MS = 150L

        /** A single failed campaign is usually a tie between two candidates, so it does not lengthen the waits. */
        const val CAMPAIGNS_BEFORE_BACKOFF = 1

        /** At the limit, the wait for votes is up to 2.8 s, longer than any delay at which a leader could lead. */
        const val MAX_DOUBLINGS = 3

        const val DOUBLINGS_PER_CAMPAIGN = 2
    }
}
