package samphirechute.state.raft

/**
 * The disks of voters that are known to be lost. Only the machine of a voter says so, when it is asked for a vote by a
 * message that names the voter's disk and has another one: it has then replaced the disk after that disk became a voter.
 * Silence never counts, and neither does a message with another disk that names none, which may come late from a disk
 * that the machine had before.
 *
 * A lost disk stays lost, so members pass on what they know with each request for a pre-vote.
 */
internal class LostDisks(
    private val member: Member,
) {
    private val disks = LinkedHashSet<DiskIdentity>()

    val known: Set<DiskIdentity> get() = disks.toSet()

    /** Records [lost] and returns whether there is a disk among them that is news. */
    fun record(lost: Collection<DiskIdentity>): Boolean {
        val voters = member.quorum().voters
        disks.retainAll(voters)
        val added = lost.filter { it in voters && it != member.identity && disks.add(it) }
        added.forEach { member.emit(RaftOutput.DiskLost(it)) }
        return added.isNotEmpty()
    }
}
