package samphirechute.state.raft

import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember

/**
 * Membership changes on the leader, one at a time. [RaftNode] passes it the commands and calls [advance] after each
 * step of the log.
 *
 * A new member first receives the whole log as a learner. If it replaces a wiped disk of the same instance, the old
 * disk is removed by a separate entry before the new one is added, so that any two successive majorities overlap.
 *
 * An addition ends without a result as soon as its disk is known or believed to be gone: the instance asks to join with
 * another disk, or the member no longer answers. It would otherwise keep the machine that is back out of the store, and
 * a disk that exists no more would become a voter.
 */
internal class MemberChanges(
    private val member: Member,
    private val leadership: Leadership,
    private val proposals: Proposals,
) {
    private var pending: PendingAdd? = null

    /** True while the latest change is not committed; the next one has to wait for it. */
    val isChangeUncommitted get() = member.log.membersIndex > member.commitIndex

    /** True between the removal of an instance's old disk and the addition of its new one. */
    val isReplacing get() = pending?.isOldDiskRemoved == true

    fun add(
        token: Long,
        command: Command.AddMember,
    ) {
        if (answerIfRepeated(token, command.operationId)) return
        val added = command.member
        val replaced = pending?.takeIf { it.isOtherDiskOf(added) }
        if (replaced != null) abandon(replaced, "replaced", "the instance has another disk now")
        if (refuseIfBusy(token)) return
        val isKnown = member.isVoter(added.identity)
        val isReplacement = member.voters.any { it.instance == added.instance }
        when {
            isKnown -> {
                append(token, command)
            }

            !isReplacement && member.voters.size >= member.state.limits.maxMembers -> {
                proposals.refuse(token, "too_many_members", "the store has ${member.voters.size} members")
            }

            isReplacement && added.instance == member.self.instance -> {
                proposals.refuse(token, "member_leads", "the leader's own disk cannot be replaced while it leads")
            }

            else -> {
                pending = PendingAdd(token, command, member.nowMs)
                proposals.trackChange(token, isStarted = false)
                leadership.startLearner(added)
            }
        }
    }

    fun remove(
        token: Long,
        command: Command.RemoveMember,
    ) {
        if (answerIfRepeated(token, command.operationId)) return
        when {
            // A learner has no vote, so a voter can be removed while one catches up.
            isChangeUncommitted || isReplacing -> {
                refuseAsBusy(token)
            }

            member.voters.none { it.instance == command.instance } -> {
                proposals.refuse(token, "not_a_member", "'${command.instance}' is not a store member")
            }

            member.voters.size == 1 -> {
                proposals.refuse(token, "last_member", "the last store member cannot be removed")
            }

            else -> {
                append(token, command)
            }
        }
    }

    /**
     * Takes the next step of adding a member: waits until it has caught up, then removes the old disk of the instance
     * if there is one, then appends the addition. Each step starts only when the previous entry is committed and while
     * the member answers.
     */
    fun advance() {
        val current = pending ?: return
        if (isChangeUncommitted) return
        when {
            leadership.isLearnerSilent() -> {
                abandon(current, "silent", "the new member does not answer")
            }

            leadership.isCaughtUp() -> {
                if (current.isOldDiskRemoved) finish(current) else removeOldDisk(current)
            }

            member.nowMs - current.startedMs > member.timings.catchUpTimeoutMs -> {
                val seconds = member.timings.catchUpTimeoutMs / MS_PER_S
                abandon(current, "catch_up_failed", "the new member did not catch up within $seconds s")
            }
        }
    }

    private fun abandon(
        current: PendingAdd,
        code: String,
        message: String,
    ) {
        pending = null
        leadership.stopLearner()
        member.emit(RaftOutput.AdditionEnded(current.command.member, code, member.nowMs - current.startedMs))
        val refusal = ProposalOutcome.Refused(code, message)
        proposals.answer(current.token, if (current.isOldDiskRemoved) ProposalOutcome.Unknown else refusal)
    }

    private fun removeOldDisk(current: PendingAdd) {
        current.isOldDiskRemoved = true
        val added = current.command.member
        if (member.voters.none { it.instance == added.instance }) return finish(current)
        val operationId = OperationId("${current.command.operationId}/remove")
        proposals.trackChange(current.token, isStarted = true)
        leadership.append(Command.RemoveMember(operationId, added.instance))
    }

    private fun finish(current: PendingAdd) {
        pending = null
        append(current.token, current.command)
    }

    private fun append(
        token: Long,
        command: Command,
    ) = proposals.awaitCommit(leadership.append(command), token)

    /** Answers a repeated operation with its first result, because it must not change the membership again. */
    private fun answerIfRepeated(
        token: Long,
        operationId: OperationId,
    ): Boolean {
        val record = member.state.operations[operationId] ?: return false
        proposals.answer(token, ProposalOutcome.Committed(record.index, record.result))
        return true
    }

    private fun refuseIfBusy(token: Long): Boolean {
        val isBusy = pending != null || isChangeUncommitted
        if (isBusy) refuseAsBusy(token)
        return isBusy
    }

    private fun refuseAsBusy(token: Long) =
        proposals.refuse(token, "change_in_progress", "another change of membership is under way")

    private class PendingAdd(
        val token: Long,
        val command: Command.AddMember,
        val startedMs: Long,
        var isOldDiskRemoved: Boolean = false,
    ) {
        fun isOtherDiskOf(other: StoreMember) =
            command.member.instance == other.instance && command.member.diskId != other.diskId
    }

    private companion object {
        const val MS_PER_S = 1_000
    }
}
