package samphirechute.state.raft

import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember
import samphirechute.state.command.Timed

/**
 * The first start. A member with an empty log cannot tell a new store from its own wiped disk, so it founds nothing
 * unless every store member of the settings answers that its log is empty too. Only the one with the lowest name
 * founds, and only once for each disk identity.
 */
internal class Bootstrap(
    private val member: Member,
    private val mayFound: Boolean,
) {
    private val emptyPeers = mutableMapOf<InstanceId, StoreMember>()
    private val currentDisks = mutableMapOf<InstanceId, DiskIdentity>()
    private var lastHelloMs: Long? = null

    /** False for a message of a disk that has since been replaced, which may still be under way. */
    fun isFromCurrentDisk(from: DiskIdentity) = !member.isEmpty || (currentDisks[from.instance] ?: from) == from

    /** A member that nobody counts and no leader serves keeps asking, so that the leader learns of its disk. */
    fun tick() {
        if (member.leader == member.identity) return
        val silentMs = member.nowMs - member.lastLeaderContactMs
        // A member that was removed while it was cut off still counts itself; nobody else does, and it hears nothing.
        val limitMs = if (member.isVoter) member.timings.removalCheckMs else member.timings.electionMinMs
        if (silentMs < limitMs) return
        if (mayFound && member.isEmpty && emptyPeers.size == member.peers.size) bootstrap()
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
            // Only a member with an empty log, which may found the store, needs to know about the logs of others.
            if (message.isEmpty) member.send(message.from.instance, hello(message.from))
        } else if (message.inReplyTo == member.identity && message.isEmpty && message.from.instance in member.peers) {
            emptyPeers[message.from.instance] = message.member
        }
    }

    private fun bootstrap() {
        val initialMembers = (emptyPeers.values + member.self).sortedBy { it.instance }
        if (initialMembers.first() != member.self) return
        // Term 0 is never that of an elected leader, so no other entry can have the same index and term.
        initialMembers.forEachIndexed { position, initialMember ->
            val operationId = OperationId("founding-${initialMember.instance}-${initialMember.diskId}")
            member.append(LogEntry(position + 1L, 0, Timed(0, Command.AddMember(operationId, initialMember))))
        }
        member.writeAppended()
    }

    private fun hello(inReplyTo: DiskIdentity?) =
        RaftMessage.Hello(member.identity, member.term, member.self, member.isEmpty, inReplyTo)
}
