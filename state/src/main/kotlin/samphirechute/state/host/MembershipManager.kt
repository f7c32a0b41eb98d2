package samphirechute.state.host

import samphirechute.core.OperationId
import samphirechute.core.log.KeyValueLog
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember
import samphirechute.state.raft.RaftNode

/**
 * Adds and removes store members automatically while this member leads. The control instance calls [tick] periodically.
 *
 * An instance that asks to join is added, and becomes a voter only after it has caught up. An unresponsive voter is
 * removed if the number of voters is even, as it is after its replacement has been added, because the majority then
 * becomes smaller. With an odd number of voters, removing one only helps when a second one is unresponsive. No voter is
 * removed below [minMembers], because otherwise the tolerated number of lost disks could be a majority.
 */
class MembershipManager(
    /** The number of members needed to survive the loss of as many disks as the deployment tolerates. */
    private val minMembers: Int,
    private val propose: (Command) -> Unit,
) {
    private var lastCheckMs = Long.MIN_VALUE / 2

    fun tick(
        node: RaftNode,
        nowMs: Long,
    ) {
        if (!node.isLeader || nowMs - lastCheckMs < CHECK_INTERVAL_MS) return
        lastCheckMs = nowMs
        val joining = node.joinRequests.firstOrNull { node.learner == null || node.learner?.instance == it.instance }
        val unresponsive = node.unresponsiveMembers(SILENCE_LIMIT_MS)
        when {
            joining != null -> add(joining, node)
            unresponsive.isNotEmpty() && canRemove(unresponsive.size, node) -> remove(unresponsive.first(), node)
        }
    }

    private fun canRemove(
        unresponsive: Int,
        node: RaftNode,
    ) = node.members.size > minMembers && (node.members.size % 2 == 0 || unresponsive > 1)

    private fun add(
        joining: StoreMember,
        node: RaftNode,
    ) {
        log.event("member_joining", mapOf("instance" to joining.instance, "disk" to joining.diskId))
        propose(Command.AddMember(operationId("join", joining, node), joining))
    }

    private fun remove(
        unresponsive: StoreMember,
        node: RaftNode,
    ) {
        log.event("member_removing", mapOf("instance" to unresponsive.instance, "silent_ms" to SILENCE_LIMIT_MS))
        propose(Command.RemoveMember(operationId("leave", unresponsive, node), unresponsive.instance))
    }

    /** Contains the term and index, because the same disk may leave and join several times. */
    private fun operationId(
        kind: String,
        member: StoreMember,
        node: RaftNode,
    ) = OperationId("$kind-${member.instance}-${member.diskId}-${node.term}-${node.lastIndex}")

    private companion object {
        const val CHECK_INTERVAL_MS = 250L

        /** Less than the 6 s within which a replacement must become a voter in place of the member it replaces. */
        const val SILENCE_LIMIT_MS = 2_500L
        val log = KeyValueLog("membership")
    }
}
