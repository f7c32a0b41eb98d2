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
    private var campaign: Campaign? = null
    private var dueMs = member.nowMs + member.firstElectionMs()

    /** Starts the wait for an election anew, after word from a leader or a vote given. */
    fun postpone() {
        campaign = null
        dueMs = member.nowMs + member.electionTimeoutMs()
    }

    fun tick() {
        if (isLeading() || !member.isVoter || member.nowMs < dueMs) return
        // A member whose disk is behind could not confirm its own vote.
        if (!member.disk.isIdle) return
        member.leader = null
        dueMs = retryMs(PRE_VOTE_WAIT_MS)
        start(Campaign(member.term + 1, isPreVote = true, member.nowMs))
        request { PreVoteRequest(member.identity, member.term + 1, member.log.lastIndex, member.log.lastTerm) }
        grant(member.identity)
    }

    fun onPreVoteRequest(request: PreVoteRequest) {
        if (isBound()) return
        val isEligible = request.term > member.term && isUpToDate(request.lastTerm, request.lastIndex)
        val isGranted = isEligible && !isPreferredTo(request)
        // Two members that campaign at once would split the votes and lose a whole round.
        if (isGranted) dueMs = maxOf(dueMs, member.nowMs + PRE_VOTE_WAIT_MS)
        val term = if (isGranted) request.term else member.term
        member.send(request.from.instance, PreVoteReply(member.identity, term, isGranted))
    }

    fun onPreVoteReply(reply: PreVoteReply) {
        val current = campaign
        if (!reply.isGranted) {
            if (reply.term > member.term) onTerm(reply.term)
        } else if (current != null && current.isPreVote && reply.term == current.term) {
            grant(reply.from)
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
        val current = campaign ?: return
        if (reply.isGranted && !current.isPreVote && reply.term == current.term) grant(reply.from)
    }

    /** Counts the member's own vote once the disk holds it. */
    fun onDiskDone(sequence: Long) {
        val current = campaign ?: return
        if (!current.isPreVote && current.term == member.term &&
            sequence >= current.voteSequence
        ) {
            grant(member.identity)
        }
    }

    private fun grant(voter: DiskIdentity) {
        val current = campaign ?: return
        if (!member.isVoter(voter)) return
        current.grants += voter
        if (current.grants.size < member.majority) return
        if (current.isPreVote) {
            startVote()
        } else {
            campaign = null
            onWon()
        }
    }

    private fun startVote() {
        val term = member.term + 1
        dueMs = retryMs(VOTE_WAIT_MS)
        member.save(HardState(term, member.identity))
        start(Campaign(term, isPreVote = false, member.nowMs, member.disk.lastIssued))
        request { VoteRequest(member.identity, term, member.log.lastIndex, member.log.lastTerm) }
    }

    private fun start(next: Campaign) {
        member.emit(
            RaftOutput.Campaigning(next.term, next.isPreVote, campaign?.grants?.size ?: 0, member.majority),
        )
        campaign = next
    }

    /** A vote is asked for only when the own one is durable; a preceding vote promises nothing. */
    private fun request(message: () -> RaftMessage) =
        member.voters.filter { it.identity != member.identity }.forEach { voter ->
            if (campaign?.isPreVote == true) {
                member.send(voter.instance, message())
            } else {
                member.sendWhenDurable(voter.instance, message())
            }
        }

    private fun retryMs(answerMs: Long) =
        member.nowMs + answerMs + member.random.nextLong(member.timings.retryMinMs, member.timings.retryMaxMs + 1)

    /** Of two campaigns at once the one of the lower name goes on, if its log is no worse. */
    private fun isPreferredTo(request: PreVoteRequest): Boolean {
        val own = campaign ?: return false
        val isSame = request.lastTerm == member.log.lastTerm && request.lastIndex == member.log.lastIndex
        return isSame && member.self.instance < request.from.instance && member.nowMs - own.sinceMs < PRE_VOTE_WAIT_MS
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
        val isPreVote: Boolean,
        val sinceMs: Long,
        val voteSequence: Long = 0,
        val grants: MutableSet<DiskIdentity> = mutableSetOf(),
    )

    private companion object {
        /** Time for the answers, which for a vote includes a write at the voter. */
        const val PRE_VOTE_WAIT_MS = 50L
        const val VOTE_WAIT_MS = 150L
    }
}
