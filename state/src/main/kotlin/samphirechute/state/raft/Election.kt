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
    private val onWon: () -> Unit,
    private val onTerm: (Long) -> Unit,
    private val isLeading: () -> Boolean,
) {
    /** Answers to the preceding vote; those that come after the wait for them still count, as they promise nothing. */
    private var survey: Campaign? = null

    /** The votes of the current term, which count for as long as the term lasts. */
    private var ballot: Campaign? = null
    private var dueMs = member.nowMs + member.firstElectionMs()

    /** Campaigns of this member since it last heard from a leader or led. */
    private var campaigns = 0

    /** Starts the wait for an election anew, after a vote given, a later term or the end of an own lead. */
    fun postpone() {
        survey = null
        ballot = null
        dueMs = member.nowMs + member.electionTimeoutMs() * patience()
    }

    /** There is a leader, so the next election is not one that has failed before. */
    fun leaderHeard() {
        campaigns = 0
        postpone()
    }

    fun tick() {
        if (isLeading() || !member.isVoter || member.nowMs < dueMs) return
        // A member whose disk is behind could not confirm its own vote.
        if (!member.disk.isIdle) return
        member.leader = null
        campaigns++
        dueMs = retryMs(PRE_VOTE_WAIT_MS)
        val grants = survey?.takeIf { it.term == member.term + 1 }?.grants.orEmpty()
        val next = Campaign(member.term + 1, grants)
        member.emit(RaftOutput.Campaigning(next.term, isPreVote = true, grants.size, member.majority))
        survey = next
        val request = PreVoteRequest(member.identity, next.term, member.log.lastIndex, member.log.lastTerm)
        others().forEach { member.send(it, request) }
        grantSurvey(member.identity)
    }

    fun onPreVoteRequest(request: PreVoteRequest) {
        if (isBound()) return
        val isEligible = request.term > member.term && isUpToDate(request.lastTerm, request.lastIndex)
        val isGranted = isEligible && !isPreferredTo(request)
        // Two members that campaign at once would split the votes and lose a whole round.
        if (isGranted) dueMs = maxOf(dueMs, member.nowMs + PRE_VOTE_WAIT_MS * patience())
        val term = if (isGranted) request.term else member.term
        member.send(request.from.instance, PreVoteReply(member.identity, term, isGranted))
    }

    fun onPreVoteReply(reply: PreVoteReply) {
        when {
            reply.isGranted -> if (reply.term == survey?.term) grantSurvey(reply.from)
            reply.term > member.term -> onTerm(reply.term)
        }
    }

    fun onVoteRequest(request: VoteRequest) {
        if (isBound()) return
        if (request.term > member.term) onTerm(request.term)
        val vote = member.hardState.votedFor
        val isFree = request.term == member.term && (vote == null || vote == request.from) && !isLeading()
        val isGranted = isFree && isUpToDate(request.lastTerm, request.lastIndex)
        if (isGranted) {
            member.save(member.hardState.copy(votedFor = request.from))
            postpone()
        }
        member.sendWhenDurable(request.from.instance, VoteReply(member.identity, member.term, isGranted))
    }

    fun onVoteReply(reply: VoteReply) {
        if (reply.term > member.term) return onTerm(reply.term)
        if (reply.isGranted && reply.term == ballot?.term) grantBallot(reply.from)
    }

    /** Counts the member's own vote once the disk holds it. */
    fun onDiskDone(sequence: Long) {
        val current = ballot ?: return
        if (sequence >= current.voteSequence) grantBallot(member.identity)
    }

    private fun grantSurvey(voter: DiskIdentity) {
        val current = survey ?: return
        if (isMajorityWith(voter, current)) startVote()
    }

    private fun grantBallot(voter: DiskIdentity) {
        val current = ballot?.takeIf { it.term == member.term } ?: return
        if (!isMajorityWith(voter, current)) return
        survey = null
        ballot = null
        campaigns = 0
        onWon()
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
        dueMs = retryMs(VOTE_WAIT_MS)
        val votesBefore = ballot?.grants?.size ?: 0
        member.emit(RaftOutput.Campaigning(term, isPreVote = false, votesBefore, member.majority))
        member.save(HardState(term, member.identity))
        survey = null
        ballot = Campaign(term, voteSequence = member.disk.lastIssued)
        val request = VoteRequest(member.identity, term, member.log.lastIndex, member.log.lastTerm)
        others().forEach { member.sendWhenDurable(it, request) }
    }

    private fun others() = member.voters.filter { it.identity != member.identity }.map { it.instance }

    private fun retryMs(answerMs: Long): Long {
        val spreadMs = member.random.nextLong(member.timings.retryMinMs, member.timings.retryMaxMs + 1)
        return member.nowMs + (answerMs + spreadMs) * patience()
    }

    /**
     * By how much longer than at first to wait. Members that are overloaded answer late, and a campaign that replaces one
     * whose answers are still under way wins no votes and adds to their load.
     */
    private fun patience(): Long = 1L shl (GROWTH * (campaigns - QUICK_CAMPAIGNS)).coerceIn(0, MAX_DOUBLINGS)

    /** Of two campaigns at once the one of the lower name goes on, if its log is no worse, until its wait is over. */
    private fun isPreferredTo(request: PreVoteRequest): Boolean {
        val own = survey ?: return false
        val isSame = request.lastTerm == member.log.lastTerm && request.lastIndex == member.log.lastIndex
        return isSame && member.self.instance < request.from.instance &&
            own.term == request.term && member.nowMs < dueMs
    }

    private fun isBound() = isLeading() || member.nowMs - member.lastHeardMs < member.timings.electionMinMs

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
        const val PRE_VOTE_WAIT_MS = 50L
        const val VOTE_WAIT_MS = 150L

        /** One campaign that fails is most often one of two at the same time. */
        const val QUICK_CAMPAIGNS = 1

        /** The wait for votes is then up to 2.8 s, longer than any delay that a leader could lead with. */
        const val MAX_DOUBLINGS = 3

        /** Doublings with each further campaign. */
        const val GROWTH = 2
    }
}
