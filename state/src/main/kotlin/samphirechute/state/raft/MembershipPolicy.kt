package samphirechute.state.raft

import samphirechute.state.command.StoreMember

/** A change of the membership that is due, for [samphirechute.state.host.MembershipManager] to propose. */
sealed class DueChange {
    abstract val member: StoreMember

    /** The member has asked to join. */
    data class Join(
        override val member: StoreMember,
    ) : DueChange()

    /** The member has asked to leave because it stops. */
    data class Leave(
        override val member: StoreMember,
    ) : DueChange()

    /** The disk of the member is lost. */
    data class RemoveLost(
        override val member: StoreMember,
    ) : DueChange()

    /** The member has not answered for [silentMs]. */
    data class RemoveSilent(
        override val member: StoreMember,
        val silentMs: Long,
    ) : DueChange()
}

/**
 * Decides on the leader which change of the membership comes next.
 *
 * A voter that stops or is silent counts towards the size of a quorum, but not towards the quorum itself. Where there are
 * more voters than the minimum, as after a replacement has joined, it is therefore removed at once: the next machine may be
 * removed, and the next disk lost, right after. An even number that is left bears as many losses as the odd number above
 * it, see [Quorum]. A voter whose disk is known to be lost goes first, since the leader may have been elected without it.
 * No voter is removed below the minimum, because otherwise the tolerated number of lost disks could be a majority.
 * Removals go before joins, which may take seconds.
 */
internal class MembershipPolicy(
    private val member: Member,
    private val leadership: Leadership,
    private val changes: MemberChanges,
) {
    fun due(minMembers: Int): DueChange? {
        if (changes.isChangeUncommitted) return null
        return dueRemoval(minMembers) ?: dueJoin()
    }

    private fun dueRemoval(minMembers: Int): DueChange? {
        if (changes.isReplacing || member.voters.size <= minMembers) return null
        leadership.lostVoters.firstOrNull()?.let { return DueChange.RemoveLost(it) }
        leadership.leavingVoters.firstOrNull()?.let { return DueChange.Leave(it) }
        val silent = leadership.unresponsiveVoters(member.timings.voterSilenceMs).firstOrNull() ?: return null
        return DueChange.RemoveSilent(silent, member.timings.voterSilenceMs)
    }

    /** The first request to join, or while a member is being added, only one of the same instance with another disk. */
    private fun dueJoin(): DueChange? {
        val learner = leadership.learner?.identity?.instance
        val leaving = leadership.leavingVoters.map { it.instance }
        val joining =
            leadership.joinRequests.firstOrNull {
                it.instance !in leaving && (learner == null || learner == it.instance)
            }
        return joining?.let(DueChange::Join)
    }
}
