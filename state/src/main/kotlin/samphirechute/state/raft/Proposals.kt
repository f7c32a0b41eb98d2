package samphirechute.state.raft

import samphirechute.state.command.StoreMember

/** The proposals of one leader that have no answer yet. */
internal class Proposals(
    private val member: Member,
) {
    private val waiting = LinkedHashMap<Long, Long>()
    private val held = ArrayList<RaftInput.Propose>()

    /** Changes of membership whose own entry is not in the log yet, and what they end as when leadership ends. */
    private val preparing = LinkedHashMap<Long, ProposalOutcome>()

    val isFull get() = waiting.size + held.size >= member.timings.maxPending

    fun await(
        index: Long,
        token: Long,
    ) {
        preparing.remove(token)
        waiting[index] = token
    }

    /** Keeps a proposal until this leader knows everything committed before it. */
    fun hold(proposal: RaftInput.Propose) {
        held += proposal
    }

    fun prepare(
        token: Long,
        isStarted: Boolean,
    ) {
        preparing[token] = if (isStarted) ProposalOutcome.Unknown else ProposalOutcome.NotLeader(null)
    }

    fun takeHeld(): List<RaftInput.Propose> = held.toList().also { held.clear() }

    fun answer(applied: List<AppliedEntry>) =
        applied.forEach { entry ->
            waiting.remove(entry.index)?.let { answer(it, ProposalOutcome.Committed(entry.index, entry.result)) }
        }

    fun answer(
        token: Long,
        outcome: ProposalOutcome,
    ) {
        preparing.remove(token)
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
    fun abandon() {
        held.forEach { member.emit(notLeader(it.token, null)) }
        preparing.forEach { (token, outcome) -> member.emit(RaftOutput.Answer(token, outcome)) }
        waiting.forEach { (index, token) ->
            val isSent = index <= member.writtenIndex
            member.emit(if (isSent) RaftOutput.Answer(token, ProposalOutcome.Unknown) else notLeader(token, null))
        }
        held.clear()
        preparing.clear()
        waiting.clear()
    }
}
