package samphirechute.state.raft

import samphirechute.state.command.StoreMember

/**
 * The agreement that elects a leader, commits an entry or confirms that a leader still leads: more than half of the
 * voters, or half of an even number of them if the disk of one is known to be lost.
 *
 * An even number of voters bears no more silent voters than the odd number below it, since one half cannot tell the
 * other from one that is cut off. A lost disk is different: it never votes again. Two of four voters may therefore go
 * on if a third one is known to be lost, as when a machine was removed and another one lost its disk right after.
 *
 * Two quorums of the same membership share a voter. If one of them counts no lost disk, their sizes add up to more than
 * all. Otherwise let the quorums P and Q without a common voter know the lost disks p and q. Together they are all
 * voters, so p is in Q and q is in P. Whoever is in P acted after p was lost, hence q acted after p was lost, and p
 * likewise acted after q was lost. Both acted before they were lost themselves, so each would have been lost before the
 * other. This holds only while every vote and acknowledgement that counts was given after the disks in [lostDisks] were
 * lost. A candidate therefore fixes them before it asks for votes, and keeps them as the leader of that term.
 *
 * While a change of the membership is not known to be committed, a quorum of each of the two memberships is needed. One
 * of the new membership alone would not always share a voter with half of the old one.
 */
internal class Quorum(
    private val memberships: List<List<StoreMember>>,
    val lostDisks: Set<DiskIdentity> = emptySet(),
) {
    /** All voters of the memberships. */
    val voters: Set<DiskIdentity> = memberships.flatMapTo(LinkedHashSet()) { members -> members.map { it.identity } }

    /** The voters needed of the latest membership. */
    val size: Int get() = sizeOf(memberships.last())

    fun isReachedBy(agreeing: Set<DiskIdentity>): Boolean =
        memberships.all { members -> members.count { it.identity in agreeing } >= sizeOf(members) }

    /** The highest value that a quorum has reached, where a voter without a value has reached none; null if none has. */
    fun reached(valueOf: (DiskIdentity) -> Long?): Long? =
        memberships.map { members -> reachedIn(members, valueOf) ?: return null }.minOrNull()

    private fun reachedIn(
        members: List<StoreMember>,
        valueOf: (DiskIdentity) -> Long?,
    ) = members.mapNotNull { valueOf(it.identity) }.sortedDescending().getOrNull(sizeOf(members) - 1)

    private fun sizeOf(members: List<StoreMember>): Int {
        val half = members.size / 2
        val isHalfEnough = members.size % 2 == 0 && members.any { it.identity in lostDisks }
        return if (isHalfEnough) half else half + 1
    }
}
