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
 * An even number of voters bears no more silent ones than the odd number below it, but needs one more to answer. A voter
 * that stops or is silent is therefore removed at once from an even number, as there is after a replacement has joined: the
 * next disk may be lost right after. A voter whose disk is known to be lost goes first, since the leader may have been
 * elected without it by half of the voters. With an odd number, removing a silent voter only helps when a second one is silent.
 * No voter is removed below the minimum, because otherwise the tolerated number of lost disks could be a majority.
 * Removals go first, since a join may take seconds.
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
        val isEven = member.voters.size % 2 == 0
        val lost = leadership.lostVoters.firstOrNull()
        if (isEven && lost != null) return DueChange.RemoveLost(lost)
        val leaving = leadership.leavingVoters.firstOrNull()
        if (isEven && leaving != null) return DueChange.Leave(leaving)
        val silent = leadership.unresponsiveVoters(member.timings.voterSilenceMs)
        if (silent.isEmpty() || (!isEven && silent.size == 1)) return null
        return DueChange.RemoveSilent(silent.first(), member.timings.voterSilenceMs)
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
