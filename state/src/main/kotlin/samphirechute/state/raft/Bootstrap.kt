package samphirechute.state.raft

import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember
import samphirechute.state.command.TimedCommand

/**
 * Creates the store at its first start, and lets a member without a leader make its disk known. [RaftNode] calls it on
 * each tick and for each [RaftMessage.Hello].
 *
 * A member with an empty log cannot tell a new store from its own wiped disk. It therefore creates a store only if
 * every store member in the settings answers that its log is empty too. Only the member with the lowest name does so,
 * and only once per disk identity.
 */
internal class Bootstrap(
    private val member: Member,
    private val canBootstrap: Boolean,
) {
    private val emptyPeers = mutableMapOf<InstanceId, StoreMember>()
    private val currentDisks = mutableMapOf<InstanceId, DiskIdentity>()
    private var lastHelloMs: Long? = null

    /** False for a delayed message from a disk that has since been replaced. Checked only while the log is empty. */
    fun isFromCurrentDisk(from: DiskIdentity) = !member.isEmpty || (currentDisks[from.instance] ?: from) == from

    /** Sends hello messages while no leader contacts this member, so that the leader learns of its disk. */
    fun tick() {
        if (member.leader == member.identity || member.isLeaving) return
        val sinceContactMs = member.nowMs - member.lastLeaderContactMs
        // A member that was removed while it was isolated still believes it is a voter, but no leader contacts it.
        val limitMs = if (member.isVoter) member.timings.removalCheckMs else member.timings.electionMinMs
        if (sinceContactMs < limitMs) return
        if (canBootstrap && member.isEmpty && emptyPeers.size == member.peers.size) bootstrap()
        val last = lastHelloMs
        val everyMs = if (member.isVoter) member.timings.voterHelloIntervalMs else member.timings.helloIntervalMs
        if (last != null && member.nowMs - last < everyMs) return
        lastHelloMs = member.nowMs
        emptyPeers.clear()
        val known = member.peers + member.voters.map { it.instance } - member.self.instance
        known.forEach { member.send(it, hello(null)) }
    }

    fun onHello(message: RaftMessage.Hello) {
        currentDisks[message.from.instance] = message.from
        if (message.inReplyTo == null) {
            // Only a member with an empty log needs a reply: it may create the store if all other logs are empty.
            if (message.isEmpty) member.send(message.from.instance, hello(message.from))
        } else if (message.inReplyTo == member.identity && message.isEmpty && message.from.instance in member.peers) {
            emptyPeers[message.from.instance] = message.member
        }
    }

    private fun bootstrap() {
        val initialMembers = (emptyPeers.values + member.self).sortedBy { it.instance }
        if (initialMembers.first() != member.self) return
        // No leader is ever elected in term 0, so no other entry can have the same index and term.
        initialMembers.forEachIndexed { position, initialMember ->
            val operationId = OperationId("founding-${initialMember.instance}-${initialMember.diskId}")
            member.append(LogEntry(position + 1L, 0, TimedCommand(0, Command.AddMember(operationId, initialMember))))
        }
        member.writeAppended()
    }

    private fun hello(inReplyTo: DiskIdentity?) =
        RaftMessage.Hello(member.identity, member.term, member.self, member.isEmpty, inReplyTo)
}
