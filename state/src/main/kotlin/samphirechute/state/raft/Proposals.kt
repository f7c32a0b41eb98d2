package samphirechute.state.raft

import samphirechute.state.command.StoreMember

/** The proposals that this member has not answered yet while it leads. Every proposal gets exactly one answer. */
internal class Proposals(
    private val member: Member,
) {
    /** Tokens by the index of their entry. */
    private val awaitingCommit = LinkedHashMap<Long, Long>()
    private val deferred = ArrayList<RaftInput.Propose>()

    /** Membership changes whose entry is not in the log yet, with the answer to give if leadership ends. */
    private val pendingChanges = LinkedHashMap<Long, ProposalOutcome>()

    val isFull get() = awaitingCommit.size + deferred.size >= member.timings.maxPendingProposals

    fun awaitCommit(
        index: Long,
        token: Long,
    ) {
        pendingChanges.remove(token)
        awaitingCommit[index] = token
    }

    /** Delays a proposal until an entry of the current term is committed. */
    fun defer(proposal: RaftInput.Propose) {
        deferred += proposal
    }

    /** Tracks a membership change before its own entry is appended. [isStarted] if the removal of the old disk is. */
    fun trackChange(
        token: Long,
        isStarted: Boolean,
    ) {
        pendingChanges[token] = if (isStarted) ProposalOutcome.Unknown else ProposalOutcome.NotLeader(null)
    }

    fun takeDeferred(): List<RaftInput.Propose> = deferred.toList().also { deferred.clear() }

    fun answer(applied: List<AppliedEntry>) =
        applied.forEach { entry ->
            awaitingCommit.remove(entry.index)?.let { answer(it, ProposalOutcome.Committed(entry.index, entry.result)) }
        }

    fun answer(
        token: Long,
        outcome: ProposalOutcome,
    ) {
        pendingChanges.remove(token)
        member.emit(RaftOutput.Answer(token, outcome))
    }

    fun refuse(
        token: Long,
        code: String,
        message: String,
    ) = answer(token, ProposalOutcome.Refused(code, message))

    fun notLeader(
        token: Long,
        leader: StoreMember?,
    ) = RaftOutput.Answer(token, ProposalOutcome.NotLeader(leader))

    /**
     * Answers all proposals when leadership ends. An entry that was neither written nor sent is certainly in no log;
     * the outcome of any other is unknown.
     */
    fun failAll() {
        deferred.forEach { member.emit(notLeader(it.token, null)) }
        pendingChanges.forEach { (token, outcome) -> member.emit(RaftOutput.Answer(token, outcome)) }
        awaitingCommit.forEach { (index, token) ->
            val isSent = index <= member.writtenIndex
            member.emit(if (isSent) RaftOutput.Answer(token, ProposalOutcome.Unknown) else notLeader(token, null))
        }
        deferred.clear()
        pendingChanges.clear()
        awaitingCommit.clear()
    }
}
