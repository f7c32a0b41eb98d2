package samphirechute.state.raft

import samphirechute.state.raft.RaftMessage.PreVoteReply
import samphirechute.state.raft.RaftMessage.PreVoteRequest
import samphirechute.state.raft.RaftMessage.VoteReply
import samphirechute.state.raft.RaftMessage.VoteRequest

/**
 * Elections with a preceding vote that raises no term. A member that has heard from a leader within the shortest
 * election timeout answers no request for a vote, on which the leader's lease rests.
 */
internal class Election(
    private val member: Member,
    private val onElected: () -> Unit,
    private val onHigherTerm: (Long) -> Unit,
    private val isLeading: () -> Boolean,
) {
    /** Answers to the preceding vote; those that come after the wait for them still count, as they promise nothing. */
    private var preVoteCampaign: Campaign? = null

    /** The votes of the current term, which count for as long as the term lasts. */
    private var voteCampaign: Campaign? = null
    private var nextCampaignMs = member.nowMs + member.firstElectionMs()

    /** Campaigns of this member since it last heard from a leader or led. */
    private var campaignCount = 0

    /** Starts the wait for an election anew, after a vote given, a later term or the end of an own lead. */
    fun resetTimeout() {
        preVoteCampaign = null
        voteCampaign = null
        nextCampaignMs = member.nowMs + member.electionTimeoutMs() * backoffFactor()
    }

    /** There is a leader, so the next election is not one that has failed before. */
    fun onLeaderContact() {
        campaignCount = 0
        resetTimeout()
    }

    fun tick() {
        if (isLeading() || !member.isVoter || member.nowMs < nextCampaignMs) return
        // A member whose disk is behind could not confirm its own vote.
        if (!member.disk.isIdle) return
        member.leader = null
        campaignCount++
        nextCampaignMs = retryAtMs(PRE_VOTE_REPLY_WAIT_MS)
        val grants = preVoteCampaign?.takeIf { it.term == member.term + 1 }?.grants.orEmpty()
        val next = Campaign(member.term + 1, grants)
        member.emit(RaftOutput.Campaigning(next.term, isPreVote = true, grants.size, member.majority))
        preVoteCampaign = next
        val request = PreVoteRequest(member.identity, next.term, member.log.lastIndex, member.log.lastTerm)
        otherVoters().forEach { member.send(it, request) }
        countPreVote(member.identity)
    }

    fun onPreVoteRequest(request: PreVoteRequest) {
        if (mustIgnoreCandidates()) return
        val isEligible = request.term > member.term && isUpToDate(request.lastTerm, request.lastIndex)
        val isGranted = isEligible && !hasPriorityOver(request)
        // Two members that campaign at once would split the votes and lose a whole round.
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

    /** Counts the member's own vote once the disk holds it. */
    fun onDiskDone(sequence: Long) {
        val current = voteCampaign ?: return
        if (sequence >= current.voteSequence) countVote(member.identity)
    }

    private fun countPreVote(voter: DiskIdentity) {
        val current = preVoteCampaign ?: return
        if (isMajorityWith(voter, current)) startVote()
    }

    private fun countVote(voter: DiskIdentity) {
        val current = voteCampaign?.takeIf { it.term == member.term } ?: return
        if (!isMajorityWith(voter, current)) return
        preVoteCampaign = null
        voteCampaign = null
        campaignCount = 0
        onElected()
    }

    private fun isMajorityWith(
        voter: DiskIdentity,
        current: Campaign,
    ): Boolean {
        if (member.isVoter(voter)) current.grants += voter
        return current.grants.count(member::isVoter) >= member.majority
    }

    /** A vote is asked for only when the own one is durable. */
    private fun startVote() {
        val term = member.term + 1
        nextCampaignMs = retryAtMs(VOTE_REPLY_WAIT_MS)
        val votesBefore = voteCampaign?.grants?.size ?: 0
        member.emit(RaftOutput.Campaigning(term, isPreVote = false, votesBefore, member.majority))
        member.saveHardState(HardState(term, member.identity))
        preVoteCampaign = null
        voteCampaign = Campaign(term, voteSequence = member.disk.lastIssued)
        val request = VoteRequest(member.identity, term, member.log.lastIndex, member.log.lastTerm)
        otherVoters().forEach { member.sendWhenDurable(it, request) }
    }

    private fun otherVoters() = member.voters.filter { it.identity != member.identity }.map { it.instance }

    private fun retryAtMs(replyWaitMs: Long): Long {
        val spreadMs = member.random.nextLong(member.timings.retryMinMs, member.timings.retryMaxMs + 1)
        return member.nowMs + (replyWaitMs + spreadMs) * backoffFactor()
    }

    /**
     * By how much longer than at first to wait. Members that are overloaded answer late, and a campaign that replaces one
     * whose answers are still under way wins no votes and adds to their load.
     */
    private fun backoffFactor(): Long = 1L shl (DOUBLINGS_PER_CAMPAIGN * (campaignCount - CAMPAIGNS_BEFORE_BACKOFF)).coerceIn(0, MAX_BACKOFF_DOUBLINGS)

    /** Of two campaigns at once the one of the lower name goes on, if its log is no worse, until its wait is over. */
    private fun hasPriorityOver(request: PreVoteRequest): Boolean {
        val own = preVoteCampaign ?: return false
        val isSame = request.lastTerm == member.log.lastTerm && request.lastIndex == member.log.lastIndex
        return isSame && member.self.instance < request.from.instance &&
            own.term == request.term && member.nowMs < nextCampaignMs
    }

    private fun mustIgnoreCandidates() = isLeading() || member.nowMs - member.lastLeaderContactMs < member.timings.electionMinMs

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
    ) {
        val grants = grants.toMutableSet()
    }

    private companion object {
        /** Time for the answers, which for a vote includes a write at the voter. */
        const val PRE_VOTE_REPLY_WAIT_MS = 50L
        const val VOTE_REPLY_WAIT_MS = 150L

        /** One campaign that fails is most often one of two at the same time. */
        const val CAMPAIGNS_BEFORE_BACKOFF = 1

        /** The wait for votes is then up to 2.8 s, longer than any delay that a leader could lead with. */
        const val MAX_BACKOFF_DOUBLINGS = 3

        /** Doublings with each further campaign. */
        const val DOUBLINGS_PER_CAMPAIGN = 2
    }
}
