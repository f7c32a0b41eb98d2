package samphirechute.state.raft

import samphirechute.core.InstanceId
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember
import samphirechute.state.command.TimedCommand

/** One term of leadership: replication, the commit index, the lease and the time of the log. */
internal class Leadership(
    private val member: Member,
) {
    val term = member.term
    private val sinceMs = member.nowMs
    private val firstIndex = member.log.lastIndex + 1
    private val progress = LinkedHashMap<DiskIdentity, Progress>()
    private var lastHeartbeatMs = member.nowMs

    private val asking = LinkedHashMap<InstanceId, StoreMember>()

    /** Those that asked to join, and those that answer for a voter with another disk since theirs was wiped. */
    val candidates: List<StoreMember>
        get() {
            val wiped = member.voters.mapNotNull { old -> unknownDisks[old.instance]?.let { old.copy(diskId = it) } }
            return (asking.values.filter { !member.isVoter(it.identity) } + wiped).distinctBy { it.instance }
        }

    private val heardDisks = mutableMapOf<InstanceId, String>()

    /** The disks that answer for an instance but are not in the membership, as found after a disk was wiped. */
    val unknownDisks: Map<InstanceId, String>
        get() = heardDisks.filter { (instance, diskId) -> !member.isVoter(DiskIdentity(instance, diskId)) }

    /** A member that is being brought up to date before it counts. */
    var learner: Progress? = null
        private set

    /** True once an entry of this term is committed, and with it everything of the terms before. */
    val isReady get() = member.commitIndex >= firstIndex

    init {
        followMembership()
    }

    fun append(command: Command): Long {
        val index = member.log.lastIndex + 1
        member.append(LogEntry(index, term, TimedCommand(logTimeMs(), command)))
        if (command is Command.AddMember || command is Command.RemoveMember) followMembership()
        return index
    }

    /** Group commit: what was appended while the last write was under way goes out as one write. */
    fun flush(): Boolean {
        if (!member.disk.isIdle || member.writtenIndex == member.log.lastIndex) return false
        member.writeAppended()
        others().forEach(::sendEntries)
        return true
    }

    fun tick() {
        if (member.nowMs - lastHeartbeatMs >= member.timings.heartbeatMs) heartbeat()
        flush()
    }

    fun heartbeat() {
        lastHeartbeatMs = member.nowMs
        others().forEach { if (it.transfer == null) sendAppend(it, emptyList()) else resendPart(it) }
    }

    fun startLearner(added: StoreMember) {
        learner = Progress(added.identity, member.writtenIndex + 1).also { sendAppend(it, emptyList()) }
    }

    fun stopLearner() {
        learner = null
    }

    fun isCaughtUp(): Boolean {
        val current = learner ?: return false
        return current.matchIndex + member.timings.catchUpEntries >= member.log.lastIndex && current.transfer == null
    }

    fun onAppendReply(reply: RaftMessage.AppendReply) {
        val current = find(reply.from) ?: return
        current.noteContact(reply.echoMs, reply.wallMs, member.nowMs)
        when {
            reply.isMatch -> {
                current.matchIndex = maxOf(current.matchIndex, reply.matchIndex)
                current.nextIndex = maxOf(current.nextIndex, current.matchIndex + 1)
            }

            // Old, or of a disk that has lost what it acknowledged: a resend would be answered alike, without end.
            reply.prevIndex <= current.matchIndex || maxOf(
                reply.lastIndex,
                current.matchIndex,
            ) + 1 >= current.nextIndex -> {
                return
            }

            else -> {
                current.nextIndex = maxOf(reply.lastIndex, current.matchIndex) + 1
            }
        }
        if (current.nextIndex <= member.writtenIndex) sendEntries(current)
    }

    fun onSnapshotReply(reply: RaftMessage.SnapshotReply) {
        val current = find(reply.from) ?: return
        current.noteContact(reply.echoMs, reply.wallMs, member.nowMs)
        val transfer = current.transfer?.takeIf { it.state.index == reply.lastIndex } ?: return
        when {
            // The receiver has restarted and lost the parts that it had, unless this is an old reply.
            reply.nextPart < transfer.partNumber -> {
                if (reply.echoMs >= transfer.sentMs) startTransfer(current)
            }

            // The receiver may be ahead when an old reply has made the transfer start anew.
            transfer.skipTo(reply.nextPart) -> {
                current.transfer = null
                current.nextIndex = transfer.state.index + 1
                sendEntries(current)
            }

            transfer.sentPart != transfer.partNumber -> {
                sendPart(current, transfer)
            }
        }
    }

    /** The highest index of this term that a majority holds on disk, or null when there is none. */
    fun committableIndex(): Long? {
        val held = member.voters.map { if (it.identity == member.identity) member.disk.durableIndex else matchOf(it) }
        val index = held.sortedDescending().getOrNull(member.majority - 1) ?: return null
        return index.takeIf { it > member.commitIndex && member.log.termAt(it) == term }
    }

    fun noteCandidate(candidate: StoreMember) {
        noteUnknownDisk(candidate.identity)
        if (member.isVoter(candidate.identity)) asking -= candidate.instance else asking[candidate.instance] = candidate
    }

    /** Voters that have answered nothing for [forMs]. */
    fun silentVoters(forMs: Long): List<StoreMember> =
        member.voters.filter { voter ->
            val heardMs = maxOf(find(voter.identity)?.ackedSentMs ?: sinceMs, sinceMs)
            voter.identity != member.identity && member.nowMs - heardMs > forMs
        }

    fun noteUnknownDisk(identity: DiskIdentity) {
        val isKnown = identity.instance in member.peers || member.voters.any { it.instance == identity.instance }
        if (isKnown && !member.isVoter(identity)) heardDisks[identity.instance] = identity.diskId
    }

    fun hasQuorumContact() = member.nowMs - maxOf(quorumContactMs() ?: sinceMs, sinceMs) <= member.timings.electionMaxMs

    /** The time until which no other member can lead; null when no majority has answered in this term yet. */
    fun leaseUntilMs(): Long? =
        quorumContactMs()?.let { it + member.timings.electionMinMs - member.timings.leaseMarginMs }

    /** The latest time at which a request was sent that a majority has answered. */
    fun quorumContactMs(): Long? {
        val contacts =
            member.voters.map {
                if (it.identity ==
                    member.identity
                ) {
                    member.nowMs
                } else {
                    find(it.identity)?.ackedSentMs
                }
            }
        return contacts.filterNotNull().sortedDescending().getOrNull(member.majority - 1)
    }

    /**
     * The lower median of the members' clocks, so that no single clock that jumps moves the time of the log; claims
     * expire by it. It stands still until a majority of clocks is known.
     */
    private fun logTimeMs(): Long {
        val last = member.log.lastAtMs ?: member.state.atMs
        val offsets =
            member.voters.mapNotNull {
                if (it.identity == member.identity) member.wallOffsetMs else find(it.identity)?.wallOffsetMs
            }
        if (offsets.size < member.majority) return last
        return maxOf(last, offsets.sorted()[(offsets.size - 1) / 2] + member.nowMs)
    }

    private fun matchOf(voter: StoreMember) = find(voter.identity)?.matchIndex ?: 0

    private fun find(identity: DiskIdentity): Progress? {
        progress[identity]?.let { return it }
        learner?.takeIf { it.identity == identity }?.let { return it }
        noteUnknownDisk(identity)
        return null
    }

    private fun others(): List<Progress> = progress.values + listOfNotNull(learner)

    private fun followMembership() {
        val wanted = member.voters.map { it.identity }.filter { it != member.identity }
        progress.keys.retainAll(wanted.toSet())
        wanted.filter { it !in progress }.forEach { identity ->
            val known = learner?.takeIf { it.identity == identity }
            if (known != null) learner = null
            progress[identity] = known ?: Progress(identity, member.writtenIndex + 1)
        }
    }

    private fun sendEntries(to: Progress) {
        if (to.transfer != null) return
        if (to.nextIndex <= member.log.baseIndex) return startTransfer(to)
        val timings = member.timings
        val window = to.matchIndex + timings.maxInFlightEntries
        val last = minOf(member.writtenIndex, maxOf(window, to.nextIndex - 1))
        val entries = member.log.slice(to.nextIndex, last, timings.maxBatchEntries, timings.maxBatchBytes)
        if (entries.isEmpty()) return
        sendAppend(to, entries)
        to.nextIndex += entries.size
    }

    private fun sendAppend(
        to: Progress,
        entries: List<LogEntry>,
    ) {
        val prevIndex = to.nextIndex - 1
        val prevTerm = member.log.termAt(prevIndex) ?: return startTransfer(to)
        val commit = member.commitIndex
        val request =
            RaftMessage.AppendRequest(
                member.identity,
                term,
                prevIndex,
                prevTerm,
                entries,
                commit,
                member.nowMs,
            )
        member.send(to.identity.instance, request)
    }

    private fun startTransfer(to: Progress) {
        val transfer = SnapshotTransfer(member.state)
        to.transfer = transfer
        sendPart(to, transfer)
    }

    private fun resendPart(to: Progress) {
        val transfer = to.transfer ?: return
        if (member.nowMs - transfer.sentMs >= member.timings.heartbeatMs) sendPart(to, transfer)
    }

    private fun sendPart(
        to: Progress,
        transfer: SnapshotTransfer,
    ) {
        transfer.sentMs = member.nowMs
        transfer.sentPart = transfer.partNumber
        val state = transfer.state
        member.send(
            to.identity.instance,
            RaftMessage.SnapshotRequest(
                member.identity,
                term,
                state.index,
                state.term,
                transfer.partNumber,
                transfer.part,
                transfer.isLast,
                member.nowMs,
            ),
        )
    }
}
