package samphirechute.state.raft

import samphirechute.core.InstanceId
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember
import samphirechute.state.command.TimedCommand

/**
 * The leader role for one term: replication to the followers, the commit index, the lease and the log time. [RaftNode]
 * creates one when this member wins an election and drops it when the member steps down.
 */
internal class Leadership(
    private val member: Member,
    /** The lost disks that this member knew of when it asked for votes. They are part of the quorums of this term. */
    private val lostDisks: Set<DiskIdentity> = emptySet(),
) {
    val term = member.term
    private val quorum get() = member.quorum(lostDisks)
    private val startedMs = member.nowMs
    private val firstIndex = member.log.lastIndex + 1
    private val progress = LinkedHashMap<DiskIdentity, Progress>()
    private var lastHeartbeatMs = member.nowMs

    private val requests = JoinRequests(member.timings.joinRequestMs)

    /**
     * Members that have lately asked to join, and voters that answer with a new disk because theirs was wiped. Those
     * that have been tried are last.
     */
    val joinRequests: List<StoreMember>
        get() =
            requests.current(member.nowMs).filter { !member.isVoter(it.identity) && it.identity != learner?.identity }

    private val leaveRequestsMs = HashMap<DiskIdentity, Long>()

    /** Voters that have lately asked to leave. */
    val leavingVoters: List<StoreMember>
        get() =
            member.voters.filter { voter ->
                leaveRequestsMs[voter.identity].let { it != null && member.nowMs - it <= member.timings.leaveRequestMs }
            }

    private val observedDisks = mutableMapOf<InstanceId, String>()

    /** Disk identities by instance that are not in the membership, as seen after a disk was wiped. */
    val unknownDisks: Map<InstanceId, String>
        get() = observedDisks.filter { (instance, diskId) -> !member.isVoter(DiskIdentity(instance, diskId)) }

    /** A member that is being added: it receives the log but does not count towards a majority yet. */
    var learner: Progress? = null
        private set

    /** True once an entry of this term is committed, which also commits all entries of earlier terms. */
    val isReady get() = member.commitIndex >= firstIndex

    init {
        updateProgress()
    }

    fun append(command: Command): Long {
        val index = member.log.lastIndex + 1
        member.append(LogEntry(index, term, TimedCommand(logTimeMs(), command)))
        if (command is Command.AddMember || command is Command.RemoveMember) updateProgress()
        return index
    }

    /**
     * Writes and sends all new entries at once if no write is pending (group commit). Returns whether there were any.
     */
    fun flush(): Boolean {
        if (!member.disk.isIdle || member.writtenIndex == member.log.lastIndex) return false
        member.writeAppended()
        replicationTargets().forEach(::sendEntries)
        return true
    }

    /** The other members whose disks have confirmed nothing although they lack entries, with the time since when. */
    val unconfirmedDisks: Map<DiskIdentity, Long>
        get() =
            replicationTargets()
                .mapNotNull { target -> target.unconfirmedSinceMs?.let { target.identity to it } }
                .toMap()

    fun tick() {
        replicationTargets().forEach { it.observeDisk(member.writtenIndex, member.nowMs) }
        if (member.nowMs - lastHeartbeatMs >= member.timings.heartbeatIntervalMs) heartbeat()
        flush()
    }

    fun heartbeat() {
        lastHeartbeatMs = member.nowMs
        replicationTargets().forEach { if (it.transfer == null) sendAppend(it, emptyList()) else resendPart(it) }
    }

    fun startLearner(added: StoreMember) {
        requests.moveToEnd(added.instance)
        learner = Progress(added.identity, member.writtenIndex + 1, member.nowMs).also { sendAppend(it, emptyList()) }
    }

    fun stopLearner() {
        learner = null
    }

    /** Returns whether the learner has nearly all entries and still answers, so that it can become a voter. */
    fun isCaughtUp(): Boolean {
        val current = learner ?: return false
        val isPresent = current.hasAnswered && current.silentMs(member.nowMs) <= member.timings.learnerContactMs
        val hasEntries = current.matchIndex + member.timings.catchUpEntries >= member.log.lastIndex
        return isPresent && hasEntries && current.transfer == null
    }

    fun isLearnerSilent() = learner.let { it != null && it.silentMs(member.nowMs) > member.timings.learnerSilenceMs }

    fun onAppendReply(reply: RaftMessage.AppendReply) {
        val current = find(reply.from) ?: return
        current.recordContact(reply.echoMs, reply.wallMs, member.nowMs)
        when {
            reply.isMatch -> {
                current.matchIndex = maxOf(current.matchIndex, reply.matchIndex)
                current.nextIndex = maxOf(current.nextIndex, current.matchIndex + 1)
            }

            // An outdated reply, or one from a disk that has lost entries it acknowledged: a resend would get the same
            // reply again, without end.
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
        current.recordContact(reply.echoMs, reply.wallMs, member.nowMs)
        val transfer = current.transfer?.takeIf { it.state.index == reply.lastIndex } ?: return
        when {
            // Unless this reply is outdated, the receiver has restarted and lost the parts it had.
            reply.nextPart < transfer.partNumber -> {
                if (reply.echoMs >= transfer.sentMs) startTransfer(current)
            }

            // All parts have been received. The receiver may be ahead if an outdated reply restarted the transfer.
            transfer.advanceTo(reply.nextPart) -> {
                current.transfer = null
                current.nextIndex = transfer.state.index + 1
                sendEntries(current)
            }

            transfer.sentPart != transfer.partNumber -> {
                sendPart(current, transfer)
            }
        }
    }

    /** The highest index that a quorum has on disk, or null if it is not new or not of this term (Raft, 5.4.2). */
    fun committableIndex(): Long? {
        val index = quorum.reached(::durableIndexOf) ?: return null
        return index.takeIf { it > member.commitIndex && member.log.termAt(it) == term }
    }

    /** The voters that have the log up to [index] on disk. */
    fun durableVoters(index: Long): List<StoreMember> = member.voters.filter { durableIndexOf(it.identity) >= index }

    /** Voters whose disks were known to be lost when this term began. */
    val lostVoters: List<StoreMember> get() = member.voters.filter { it.identity in lostDisks }

    fun recordJoinRequest(joining: StoreMember) {
        val identity = joining.identity
        recordDisk(identity)
        if (member.isVoter(identity)) requests.remove(joining.instance) else requests.record(joining, member.nowMs)
    }

    fun recordLeaveRequest(leaving: DiskIdentity) {
        leaveRequestsMs.keys.retainAll { member.isVoter(it) }
        leaveRequestsMs[leaving] = member.nowMs
    }

    /**
     * Voters that have not answered for [durationMs]. The leader of the term before counts as silent since it was last
     * heard of, if it does not answer in this term either.
     */
    fun unresponsiveVoters(durationMs: Long): List<StoreMember> {
        if (member.nowMs - startedMs <= FIRST_ANSWER_HEARTBEATS * member.timings.heartbeatIntervalMs) return emptyList()
        return member.voters.filter { voter ->
            voter.identity != member.identity && member.nowMs - lastContactMs(voter.identity) > durationMs
        }
    }

    private fun lastContactMs(voter: DiskIdentity): Long {
        val answeredMs = find(voter)?.ackedSentMs
        return when {
            answeredMs != null -> maxOf(answeredMs, startedMs)
            voter == member.lastLeader -> member.lastLeaderContactMs
            else -> startedMs
        }
    }

    fun recordDisk(identity: DiskIdentity) {
        val voter = member.voters.find { it.instance == identity.instance }
        if (member.isVoter(identity) || (voter == null && identity.instance !in member.peers)) return
        observedDisks[identity.instance] = identity.diskId
        if (voter != null) requests.record(voter.copy(diskId = identity.diskId), member.nowMs)
    }

    fun hasQuorumContact() =
        member.nowMs - maxOf(quorumContactMs() ?: startedMs, startedMs) <= member.timings.electionMaxMs

    /** The time until which no other member can become leader; null if no quorum has answered in this term yet. */
    fun leaseUntilMs(): Long? =
        quorumContactMs()?.let { it + member.timings.electionMinMs - member.timings.leaseMarginMs }

    /** The latest send time such that a quorum has answered requests sent then or later. */
    fun quorumContactMs(): Long? =
        quorum.reached { if (it == member.identity) member.nowMs else progress[it]?.ackedSentMs }

    /**
     * The time for the next log entry: the lower median of the members' clocks, so that a jump of a single clock does
     * not move it. Claims expire by this time. It does not advance until the clocks of a quorum are known.
     */
    private fun logTimeMs(): Long {
        val last = member.log.lastAtMs ?: member.state.atMs
        val offsets = member.voters.mapNotNull { wallOffsetMs(it.identity) }.sorted()
        val isQuorumKnown = quorum.isReachedBy(quorum.voters.filterTo(HashSet()) { wallOffsetMs(it) != null })
        if (!isQuorumKnown) return last
        return maxOf(last, offsets[(offsets.size - 1) / 2] + member.nowMs)
    }

    private fun wallOffsetMs(voter: DiskIdentity): Long? =
        if (voter == member.identity) member.wallOffsetMs else progress[voter]?.wallOffsetMs

    private fun durableIndexOf(voter: DiskIdentity): Long =
        if (voter == member.identity) member.disk.durableIndex else progress[voter]?.matchIndex ?: 0

    private fun find(identity: DiskIdentity): Progress? {
        progress[identity]?.let { return it }
        learner?.takeIf { it.identity == identity }?.let { return it }
        recordDisk(identity)
        return null
    }

    private fun replicationTargets(): List<Progress> = progress.values + listOfNotNull(learner)

    /** Follows the voters of both memberships until the latest change is committed. */
    fun updateProgress() {
        val otherVoters = quorum.voters - member.identity
        progress.keys.retainAll(otherVoters)
        otherVoters.filter { it !in progress }.forEach { identity ->
            val known = learner?.takeIf { it.identity == identity }
            if (known != null) learner = null
            progress[identity] = known ?: Progress(identity, member.writtenIndex + 1, member.nowMs)
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
        if (member.nowMs - transfer.sentMs >= member.timings.heartbeatIntervalMs) sendPart(to, transfer)
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

    private companion object {
        /** A voter that runs answers within this many heartbeats of a new leader. */
        const val FIRST_ANSWER_HEARTBEATS = 2
    }
}
