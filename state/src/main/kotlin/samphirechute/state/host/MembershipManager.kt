package samphirechute.state.host

import samphirechute.core.OperationId
import samphirechute.core.log.KeyValueLog
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember
import samphirechute.state.raft.RaftNode

/**
 * Keeps the membership of the store without an operator. An instance that asks to join is added; the log counts it only
 * after it has caught up. A silent voter is removed when the number of voters is even, as it is once a successor counts:
 * then one fewer makes the majority smaller. From an odd number nothing would be gained before a second one is silent.
 * Nor is one removed that the deployment needs: a majority of the members that are left could lose all of its disks.
 */
class MembershipManager(
    /** The members that are needed to bear the loss of as many disks as the deployment has to; never fewer are left. */
    private val minMembers: Int,
    private val propose: (Command) -> Unit,
) {
    private var lastMs = Long.MIN_VALUE / 2

    fun tick(
        node: RaftNode,
        nowMs: Long,
    ) {
        if (!node.isLeader || nowMs - lastMs < EVERY_MS) return
        lastMs = nowMs
        val candidate = node.candidates.firstOrNull()
        val silent = node.silentMembers(SILENT_MS)
        when {
            candidate != null -> add(candidate, node)
            silent.isNotEmpty() && isDispensable(silent.size, node) -> remove(silent.first(), node)
        }
    }

    private fun isDispensable(
        silent: Int,
        node: RaftNode,
    ) = node.members.size > minMembers && (node.members.size % 2 == 0 || silent > 1)

    private fun add(
        candidate: StoreMember,
        node: RaftNode,
    ) {
        log.event("member_joining", mapOf("instance" to candidate.instance, "disk" to candidate.diskId))
        propose(Command.AddMember(operationId("join", candidate, node), candidate))
    }

    private fun remove(
        silent: StoreMember,
        node: RaftNode,
    ) {
        log.event("member_removing", mapOf("instance" to silent.instance, "silent_ms" to SILENT_MS))
        propose(Command.RemoveMember(operationId("leave", silent, node), silent.instance))
    }

    /** The same disk may leave and join again, which are changes of their own. */
    private fun operationId(
        kind: String,
        member: StoreMember,
        node: RaftNode,
    ) = OperationId("$kind-${member.instance}-${member.diskId}-${node.term}-${node.lastIndex}")

    private companion object {
        const val EVERY_MS = 250L

        /** Less than the 6 s after which a successor has to count in place of the one that it replaces. */
        const val SILENT_MS = 2_500L
        val log = KeyValueLog("membership")
    }
}
