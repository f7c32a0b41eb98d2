package samphirechute.state.host

import samphirechute.core.OperationId
import samphirechute.core.log.KeyValueLog
import samphirechute.state.command.Command
import samphirechute.state.raft.DueChange
import samphirechute.state.raft.RaftNode

/**
 * Adds and removes store members automatically while this member leads: it proposes the changes that [RaftNode.dueChange]
 * names. The control instance calls [tick] periodically.
 */
class MembershipManager(
    /** The number of members needed to survive the loss of as many disks as the deployment tolerates. */
    private val minMembers: Int,
    private val propose: (Command) -> Unit,
) {
    private var lastCheckMs = Long.MIN_VALUE / 2

    /** Returns whether the member of [node] should give up its vote before it stops, so that the others need fewer. */
    fun shouldLeave(node: RaftNode) = node.isVoter && node.members.size > minMembers

    fun tick(
        node: RaftNode,
        nowMs: Long,
    ) {
        if (!node.isLeader || nowMs - lastCheckMs < CHECK_INTERVAL_MS) return
        lastCheckMs = nowMs
        val due = node.dueChange(minMembers) ?: return
        val member = due.member
        val fields = mapOf("instance" to member.instance, "disk" to member.diskId, "voters" to node.members.size)
        when (due) {
            is DueChange.Join -> {
                log.event("member_joining", fields)
                propose(Command.AddMember(operationId("join", due, node), member))
            }

            is DueChange.Leave -> {
                log.event("member_removing", fields + mapOf("reason" to "stops"))
                propose(Command.RemoveMember(operationId("leave", due, node), member.instance))
            }

            is DueChange.RemoveLost -> {
                log.event("member_removing", fields + mapOf("reason" to "disk_lost"))
                propose(Command.RemoveMember(operationId("lost", due, node), member.instance))
            }

            is DueChange.RemoveSilent -> {
                log.event("member_removing", fields + mapOf("reason" to "silent", "silent_ms" to due.silentMs))
                propose(Command.RemoveMember(operationId("leave", due, node), member.instance))
            }
        }
    }

    /** Contains the term and index, because the same disk may leave and join several times. */
    private fun operationId(
        kind: String,
        due: DueChange,
        node: RaftNode,
    ) = OperationId("$kind-${due.member.instance}-${due.member.diskId}-${node.term}-${node.lastIndex}")

    private companion object {
        const val CHECK_INTERVAL_MS = 100L
        val log = KeyValueLog("membership")
    }
}
