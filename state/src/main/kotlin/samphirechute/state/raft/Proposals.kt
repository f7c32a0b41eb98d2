package samphirechute.state.raft

import samphirechute.state.command.StoreMember

/** The proposals of one leader that have no answer yet. */
internal class Proposals(
    private val member: Member,
) {
    private val awaitingCommit = LinkedHashMap<Long, Long>()
    private val deferred = ArrayList<RaftInput.Propose>()

    /** Changes of membership whose own entry is not in the log yet, and what they end as when leadership ends. */
    private val pendingChanges = LinkedHashMap<Long, ProposalOutcome>()

    val isFull get() = awaitingCommit.size + deferred.size >= member.timings.maxPendingProposals

    fun awaitCommit(
        index: Long,
        token: Long,
    ) {
        pendingChanges.remove(token)
        awaitingCommit[index] = token
    }

    /** Keeps a proposal until this leader knows everything committed before it. */
    fun defer(proposal: RaftInput.Propose) {
        deferred += proposal
    }

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

    /** Leadership has ended. Only what no write and no message has carried is known not to be in any log. */
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
