package samphirechute.state.raft

import samphirechute.core.InstanceId
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember
import samphirechute.state.store.StoreLimits
import samphirechute.state.store.StoreState
import kotlin.random.Random

/**
 * One member of the replicated log, together with the state that its committed entries make. It performs no input or
 * output: every input returns what the caller has to write, send and answer. It never counts or acknowledges a vote or
 * an entry of its own before the disk has confirmed it.
 *
 * [peers] are the store members named in the settings. They matter only at the very first start: when all of them
 * answer with an empty log, the one with the lowest name founds the log with these members. From then on the members
 * are those in the log, and a member with another disk is a learner until it is added.
 */
class RaftNode(
    self: StoreMember,
    peers: Set<InstanceId>,
    restored: RestoredLog,
    random: Random,
    startMs: Long,
    timings: RaftTimings = RaftTimings(),
    /** False for a member that joins a log founded earlier, such as one whose disk was wiped. */
    canBootstrap: Boolean = true,
) {
    private val member = Member(self, peers - self.instance, restored, timings, random, startMs)
    private val follower = Follower(member)
    private val election = Election(member, ::lead, ::follow) { leadership != null }
    private val founding = Founding(member, canBootstrap)
    private var leadership: Leadership? = null
    private var changes: MemberChanges? = null
    private val proposals = Proposals(member)
    private val reads = PendingReads(member)

    /** The state after the last applied entry. It may lag the leader's; see [readableState]. */
    val state: StoreState get() = member.state
    val term: Long get() = member.term
    val isLeader: Boolean get() = leadership != null

    /** True while this member's own disk is in the membership. */
    val isVoter: Boolean get() = member.isVoter
    val members: List<StoreMember> get() = member.voters

    /** The leader as last heard of, or null. */
    val leader: StoreMember? get() = if (isLeader) member.self else member.memberOf(member.leader)
    val commitIndex: Long get() = member.commitIndex
    val lastIndex: Long get() = member.log.lastIndex

    /** On the leader: disks that answer for a member without being in the membership, for the operator to add. */
    val unknownDisks: Map<InstanceId, String> get() = leadership?.unknownDisks.orEmpty()

    /** On the leader: members that have asked to join, for [Command.AddMember]. */
    val candidates: List<StoreMember> get() = leadership?.candidates.orEmpty()

    /** On the leader: voters that have answered nothing for [forMs]. */
    fun silentMembers(forMs: Long): List<StoreMember> = leadership?.silentVoters(forMs).orEmpty()

    /** The state if this member may answer reads from it at [nowMs], which holds while its lease lasts; else null. */
    fun readableState(nowMs: Long): StoreState? = state.takeIf { leadership?.isReady == true && nowMs < leaseUntilMs() }

    /** The time until which no other member can lead. */
    fun leaseUntilMs(): Long = leadership?.leaseUntilMs() ?: Long.MIN_VALUE

    fun handle(
        input: RaftInput,
        nowMs: Long,
    ): List<RaftOutput> {
        if (member.failure != null) {
            return if (input is RaftInput.Propose) listOf(proposals.notLeader(input.token, null)) else emptyList()
        }
        member.nowMs = maxOf(member.nowMs, nowMs)
        when (input) {
            is RaftInput.Propose -> propose(input)
            is RaftInput.ConfirmRead -> confirmRead(input.token)
            is RaftInput.Received -> receive(input.message)
            is RaftInput.DiskDone -> diskDone(input.sequence)
            is RaftInput.DiskFailed -> fail(input.reason)
            is RaftInput.Tick -> tick(input.wallMs)
        }
        return member.takeOutputs()
    }

    private fun confirmRead(token: Long) {
        val current = leadership?.takeIf { it.isReady }
        if (current == null) return member.emit(RaftOutput.ReadChecked(token, isConfirmed = false))
        reads.add(token)
    }

    private fun propose(input: RaftInput.Propose) {
        val current = leadership ?: return member.emit(proposals.notLeader(input.token, member.memberOf(member.leader)))
        when {
            proposals.isFull -> proposals.refuse(input.token, "store_overloaded", "too many commands are waiting")
            current.isReady -> accept(current, input)
            else -> proposals.hold(input)
        }
        current.flush()
    }

    private fun accept(
        current: Leadership,
        input: RaftInput.Propose,
    ) = when (val command = input.command) {
        is Command.AddMember -> changes?.add(input.token, command)
        is Command.RemoveMember -> changes?.remove(input.token, command)
        else -> proposals.await(current.append(command), input.token)
    }

    private fun receive(message: RaftMessage) {
        if (message is RaftMessage.Hello) {
            hello(message)
            return founding.onHello(message)
        }
        if (!founding.isTrusted(message.from)) return
        when (message) {
            is RaftMessage.PreVoteRequest -> election.onPreVoteRequest(message)
            is RaftMessage.PreVoteReply -> election.onPreVoteReply(message)
            is RaftMessage.VoteRequest -> election.onVoteRequest(message)
            is RaftMessage.VoteReply -> election.onVoteReply(message)
            is RaftMessage.AppendRequest -> if (hear(message)) follower.onAppend(message)
            is RaftMessage.SnapshotRequest -> if (hear(message)) follower.onSnapshot(message)
            is RaftMessage.AppendReply -> answered(message) { it.onAppendReply(message) }
            is RaftMessage.SnapshotReply -> answered(message) { it.onSnapshotReply(message) }
            is RaftMessage.Hello -> Unit
        }
        if (leadership == null) member.snapshotWhenDue()
    }

    /** A member that wants to join may know only others than the leader, so its question is passed on. */
    private fun hello(message: RaftMessage.Hello) {
        if (message.inReplyTo != null) return
        val current = leadership
        val leader = member.leader
        when {
            current != null -> current.noteCandidate(message.member)
            leader != null && leader.instance != message.from.instance -> member.send(leader.instance, message)
        }
    }

    /** Notes word from the leader of the current term; a request of an earlier term is answered with this one. */
    private fun hear(message: RaftMessage): Boolean {
        if (message.term < member.term) {
            val echoMs = 0L
            val last = member.log.lastIndex
            member.send(
                message.from.instance,
                RaftMessage.AppendReply(member.identity, member.term, false, 0, 0, last, echoMs, member.wallMs),
            )
            return false
        }
        if (message.term > member.term) follow(message.term)
        check(leadership == null) { "two leaders in term ${message.term}" }
        member.leader = message.from
        member.lastHeardMs = member.nowMs
        election.leaderHeard()
        return true
    }

    private fun answered(
        message: RaftMessage,
        action: (Leadership) -> Unit,
    ) {
        if (message.term > member.term) return follow(message.term)
        val current = leadership?.takeIf { it.term == message.term } ?: return
        action(current)
        advance(current)
    }

    private fun diskDone(sequence: Long) {
        member.disk.complete(sequence).forEach(member::emit)
        election.onDiskDone(sequence)
        val current = leadership
        if (current == null) follower.onDiskDone() else advance(current)
    }

    private fun advance(current: Leadership) {
        val wasReady = current.isReady
        val before = member.commitIndex
        current.committableIndex()?.let { index ->
            val applied = member.commitTo(index)
            proposals.answer(applied)
            if (!wasReady && current.isReady) {
                member.emit(RaftOutput.LeadershipGained(current.term))
                proposals.takeHeld().forEach { accept(current, it) }
            }
        }
        val isCommitted = member.commitIndex > before
        changes?.advance()
        if (current.isReady) reads.confirm(current.quorumContactMs())
        member.snapshotWhenDue()
        // Without entries to carry it, the commit index goes out alone, so that the followers' state keeps up.
        if (!current.flush() && isCommitted) current.heartbeat()
        if (!member.isVoter && member.commitIndex >= member.log.membersIndex) stepDown()
    }

    private fun tick(wallMs: Long) {
        member.wallMs = wallMs
        member.wallOffsetMs = wallMs - member.nowMs
        founding.tick()
        election.tick()
        val current = leadership ?: return
        val isStalled = member.disk.isStalled(member.nowMs, member.timings.diskStallMs)
        if (isStalled || !current.hasQuorumContact()) return stepDown()
        current.tick()
        if (reads.isWaiting) current.heartbeat()
        advance(current)
    }

    private fun lead() {
        member.leader = member.identity
        val current = Leadership(member)
        leadership = current
        changes = MemberChanges(member, current, proposals)
        current.append(Command.Noop)
        current.flush()
        current.heartbeat()
    }

    /** Moves to a later term that another member has shown. */
    private fun follow(term: Long) {
        stepDown()
        member.leader = null
        member.save(HardState(term))
        election.postpone()
    }

    private fun stepDown() {
        val current = leadership ?: return
        leadership = null
        changes = null
        member.leader = null
        member.dropUnwritten()
        proposals.abandon()
        reads.abandon()
        if (current.isReady) member.emit(RaftOutput.LeadershipLost(current.term))
        election.postpone()
    }

    private fun fail(reason: String) {
        stepDown()
        member.failure = reason
        member.emit(RaftOutput.Stopped(reason))
    }
}
