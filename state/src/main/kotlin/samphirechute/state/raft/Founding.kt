package samphirechute.state.raft

import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember
import samphirechute.state.command.TimedCommand

/**
 * The first start. A member with an empty log cannot tell a new store from its own wiped disk, so it founds nothing
 * unless every store member of the settings answers that its log is empty too. Only the one with the lowest name
 * founds, and only once for each disk identity.
 */
internal class Founding(
    private val member: Member,
    private val canBootstrap: Boolean,
) {
    private val empty = mutableMapOf<InstanceId, StoreMember>()
    private val disks = mutableMapOf<InstanceId, DiskIdentity>()
    private var lastHelloMs: Long? = null

    /** False for a message of a disk that has since been replaced, which may still be under way. */
    fun isTrusted(from: DiskIdentity) = !member.isEmpty || (disks[from.instance] ?: from) == from

    /** A member that nobody counts and no leader serves keeps asking, so that the leader learns of its disk. */
    fun tick() {
        if (member.leader == member.identity) return
        val silentMs = member.nowMs - member.lastHeardMs
        // A member that was removed while it was cut off still counts itself; nobody else does, and it hears nothing.
        val limitMs = if (member.isVoter) member.timings.removedMs else member.timings.electionMinMs
        if (silentMs < limitMs) return
        if (canBootstrap && member.isEmpty && empty.size == member.peers.size) found()
        val last = lastHelloMs
        val everyMs = if (member.isVoter) member.timings.voterHelloMs else member.timings.helloMs
        if (last != null && member.nowMs - last < everyMs) return
        lastHelloMs = member.nowMs
        empty.clear()
        val known = member.peers + member.voters.map { it.instance } - member.self.instance
        known.forEach { member.send(it, hello(null)) }
    }

    fun onHello(message: RaftMessage.Hello) {
        disks[message.from.instance] = message.from
        if (message.inReplyTo == null) {
            // Only a member with an empty log, which may found the store, needs to know about the logs of others.
            if (message.isEmpty) member.send(message.from.instance, hello(message.from))
        } else if (message.inReplyTo == member.identity && message.isEmpty && message.from.instance in member.peers) {
            empty[message.from.instance] = message.member
        }
    }

    private fun found() {
        val founders = (empty.values + member.self).sortedBy { it.instance }
        if (founders.first() != member.self) return
        // Term 0 is never that of an elected leader, so no other entry can have the same index and term.
        founders.forEachIndexed { position, founder ->
            val operationId = OperationId("founding-${founder.instance}-${founder.diskId}")
            member.append(LogEntry(position + 1L, 0, TimedCommand(0, Command.AddMember(operationId, founder))))
        }
        member.writeAppended()
    }

    private fun hello(inReplyTo: DiskIdentity?) =
        RaftMessage.Hello(member.identity, member.term, member.self, member.isEmpty, inReplyTo)
}
