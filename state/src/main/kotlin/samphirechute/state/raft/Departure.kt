package samphirechute.state.raft

/**
 * Gives up the vote of a member that is about to stop. While it is requested, the member asks the leader to remove it,
 * or records the request itself if it leads, and neither starts elections nor asks to join. [RaftNode] calls it on each
 * tick and for each [RaftMessage.LeaveReply].
 */
internal class Departure(
    private val member: Member,
) {
    private var lastRequestMs: Long? = null
    private var isConfirmed = false

    /** True once the removal is committed. */
    val hasLeft get() = isConfirmed || (!member.isVoter && member.commitIndex >= member.log.membersIndex)

    fun request() {
        member.isLeaving = true
    }

    fun tick(leadership: Leadership?) {
        if (!member.isLeaving || hasLeft) return
        if (leadership != null) return leadership.recordLeaveRequest(member.identity)
        val lastMs = lastRequestMs
        if (lastMs != null && member.nowMs - lastMs < member.timings.heartbeatIntervalMs) return
        lastRequestMs = member.nowMs
        val request = RaftMessage.LeaveRequest(member.identity, member.term)
        val leader = member.leader
        val targets = if (leader != null) listOf(leader) else member.voters.map { it.identity } - member.identity
        targets.forEach { member.send(it.instance, request) }
    }

    fun onReply(reply: RaftMessage.LeaveReply) {
        if (member.isLeaving && reply.hasLeft && reply.term >= member.term) isConfirmed = true
    }
}
