package samphirechute.state.raft

import samphirechute.core.InstanceId
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember
import samphirechute.state.store.StoreLimits
import samphirechute.state.store.StoreState
import kotlin.random.Random

/**
 * One member of the replicated log (Raft), together with the state that results from its committed entries. It performs
 * no I/O: [handle] returns what the caller has to write, send and answer. It never counts or acknowledges its own vote
 * or entry before the disk has confirmed it.
 *
 * [peers] are the store members named in the settings. They matter only at the first start: when all of them answer
 * with an empty log, the one with the lowest name creates the log with these members. After that the members are those
 * in the log, and a member with a new disk is not a voter until it is added.
 */
class RaftNode(
    self: StoreMember,
    peers: Set<InstanceId>,
    restored: RestoredLog,
    random: Random,
    startMs: Long,
    timings: RaftTimings = RaftTimings(),
    /** False for a member that joins an existing log, for example after its disk was wiped. */
    private val canBootstrap: Boolean = true,
) {
    private val member = Member(self, peers - self.instance, restored, timings, random, startMs)
    private val follower = Follower(member)
    private val election = Election(member, ::becomeLeader, ::moveToTerm) { leadership != null }
    private val bootstrap = Bootstrap(member, canBootstrap)
    private val departure = Departure(member)
    private var leadership: Leadership? = null
    private var memberChanges: MemberChanges? = null
    private var policy: MembershipPolicy? = null
    private val proposals = Proposals(member)
    private val reads = PendingReads(member)

    /** The state after the last applied entry. It may lag behind the leader's; see [readableState]. */
    val state: StoreState get() = member.state
    val term: Long get() = member.term

    /** True once an entry of the current term is applied, which its leader commits after all entries of earlier terms. */
    val hasAppliedTerm: Boolean get() = state.term == member.term
    val isLeader: Boolean get() = leadership != null

    /** True while the membership contains this member with its current disk. */
    val isVoter: Boolean get() = member.isVoter
    val members: List<StoreMember> get() = member.voters

    /** The last known leader of the current term, or null. */
    val leader: StoreMember? get() = if (isLeader) member.self else member.findVoter(member.leader)
    val commitIndex: Long get() = member.commitIndex
    val lastIndex: Long get() = member.log.lastIndex

    /** The newest revision of a configuration in the log, committed or not, or null. */
    val lastLoggedRevision: Long? get() = member.log.lastRevision ?: state.adopted?.revision

    /** On the leader: disk identities by instance that are not in the membership, for the operator to add. */
    val unknownDisks: Map<InstanceId, String> get() = leadership?.unknownDisks.orEmpty()

    /** On the leader: voters whose disks were known to be lost when its term began, see [Quorum]. */
    val lostVoters: List<StoreMember> get() = leadership?.lostVoters.orEmpty()

    /** On the leader: members to add with [Command.AddMember], which have asked to join or replaced a wiped disk. */
    val joinRequests: List<StoreMember> get() = leadership?.joinRequests.orEmpty()

    /** True once this member has given up its vote after [leave], or never had one. */
    val hasLeft: Boolean get() = departure.hasLeft

    /** Asks the leader to remove this member, which is about to stop, on each tick until [hasLeft]. */
    fun leave() = departure.request()

    /**
     * Replaces the store members named in the settings, to which a member without a leader makes itself known. One that may
     * still create the store keeps those of its start, since they become its members.
     */
    fun updatePeers(peers: Set<InstanceId>) {
        if (!canBootstrap || !member.isEmpty) member.peers = peers - member.self.instance
    }

    /** On the leader: the voters that have the log up to [index] on disk; null on any other member. */
    fun durableVoters(index: Long): List<StoreMember>? = leadership?.durableVoters(index)

    /** On the leader: the change of the membership that comes next, if any; at least [minMembers] remain. */
    fun dueChange(minMembers: Int): DueChange? = policy?.due(minMembers)

    /** Since when the disks that should confirm writes have confirmed none: this member's, and on the leader all. */
    fun unconfirmedDisks(): Map<DiskIdentity, Long> =
        leadership?.unconfirmedDisks.orEmpty() +
            member.disk.oldestIssuedMs
                ?.let { mapOf(member.identity to it) }
                .orEmpty()

    /** On the leader: voters that have not answered for [durationMs]. */
    fun unresponsiveMembers(durationMs: Long): List<StoreMember> = leadership?.unresponsiveVoters(durationMs).orEmpty()

    /**
     * The state if this member may answer reads from it at [nowMs], that is, while it holds a lease; otherwise null.
     */
    fun readableState(nowMs: Long): StoreState? = state.takeIf { leadership?.isReady == true && nowMs < leaseUntilMs() }

    /** The end of the lease, before which no other member can become leader. */
    fun leaseUntilMs(): Long = leadership?.leaseUntilMs() ?: Long.MIN_VALUE

    /**
     * Processes one [input] and returns what the caller has to do, in order. After a disk failure it only answers
     * proposals, as not being the leader. [nowMs] is the monotonic clock.
     */
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
            is RaftInput.Received -> handleMessage(input.message)
            is RaftInput.DiskDone -> handleDiskDone(input.sequence)
            is RaftInput.DiskRefused -> handleDiskRefused()
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
        val current =
            leadership ?: return member.emit(proposals.notLeader(input.token, member.findVoter(member.leader)))
        when {
            proposals.isFull -> proposals.refuse(input.token, "store_overloaded", "too many commands are waiting")
            current.isReady -> accept(current, input)
            else -> proposals.defer(input)
        }
        current.flush()
    }

    private fun accept(
        current: Leadership,
        input: RaftInput.Propose,
    ) = when (val command = input.command) {
        is Command.AddMember -> memberChanges?.add(input.token, command)
        is Command.RemoveMember -> memberChanges?.remove(input.token, command)
        else -> proposals.awaitCommit(current.append(command), input.token)
    }

    private fun handleMessage(message: RaftMessage) {
        if (message is RaftMessage.Hello) {
            handleHello(message)
            return bootstrap.onHello(message)
        }
        if (!bootstrap.isFromCurrentDisk(message.from) || isForLostDisk(message)) return
        when (message) {
            is RaftMessage.PreVoteRequest -> handlePreVoteRequest(message)
            is RaftMessage.DiskLost -> handleDiskLost(message)
            is RaftMessage.PreVoteReply -> election.onPreVoteReply(message)
            is RaftMessage.VoteRequest -> election.onVoteRequest(message)
            is RaftMessage.VoteReply -> election.onVoteReply(message)
            is RaftMessage.AppendRequest -> if (acceptFromLeader(message)) follower.onAppend(message)
            is RaftMessage.SnapshotRequest -> if (acceptFromLeader(message)) follower.onSnapshot(message)
            is RaftMessage.AppendReply -> handleReply(message) { it.onAppendReply(message) }
            is RaftMessage.SnapshotReply -> handleReply(message) { it.onSnapshotReply(message) }
            is RaftMessage.LeaveRequest -> handleLeaveRequest(message.from)
            is RaftMessage.LeaveReply -> departure.onReply(message)
            is RaftMessage.Hello -> Unit
        }
        if (leadership == null) member.snapshotIfDue()
    }

    /** Records a join request, or forwards it to the leader, since a joining member may not know who leads. */
    private fun handleHello(message: RaftMessage.Hello) {
        if (message.inReplyTo != null) return
        val current = leadership
        val leader = member.leader
        when {
            current != null -> current.recordJoinRequest(message.member)
            leader != null && leader.instance != message.from.instance -> member.send(leader.instance, message)
        }
    }

    /** Answers a request to a disk that this member had before its current one. */
    private fun isForLostDisk(message: RaftMessage): Boolean {
        val asked = message.to ?: return false
        if (asked.instance != member.self.instance || asked == member.identity) return false
        member.send(message.from.instance, RaftMessage.DiskLost(member.identity, member.term, asked))
        return true
    }

    private fun handleDiskLost(message: RaftMessage.DiskLost) {
        val lost = message.lost
        if (lost.instance != message.from.instance || lost == message.from) return
        if (member.lostDisks.record(listOf(lost))) election.onDisksLost()
    }

    private fun handlePreVoteRequest(request: RaftMessage.PreVoteRequest) {
        if (member.lostDisks.record(request.lostDisks)) election.onDisksLost()
        election.onPreVoteRequest(request)
    }

    private fun handleLeaveRequest(from: DiskIdentity) {
        val current = leadership ?: return
        current.recordLeaveRequest(from)
        val hasLeft = !member.isVoter(from) && member.commitIndex >= member.log.membersIndex
        member.send(from.instance, RaftMessage.LeaveReply(member.identity, member.term, hasLeft))
    }

    /**
     * Records contact from the leader of the current term and returns true. A request from an earlier term is rejected
     * with the current term, so that its sender steps down.
     */
    private fun acceptFromLeader(message: RaftMessage): Boolean {
        if (message.term < member.term) {
            val echoMs = 0L
            val last = member.log.lastIndex
            member.send(
                message.from.instance,
                RaftMessage.AppendReply(member.identity, member.term, false, 0, 0, last, echoMs, member.wallMs),
            )
            return false
        }
        if (message.term > member.term) moveToTerm(message.term)
        check(leadership == null) { "two leaders in term ${message.term}" }
        member.leader = message.from
        member.lastLeader = message.from
        member.lastLeaderContactMs = member.nowMs
        election.onLeaderContact()
        return true
    }

    private fun handleReply(
        message: RaftMessage,
        action: (Leadership) -> Unit,
    ) {
        if (message.term > member.term) return moveToTerm(message.term)
        val current = leadership?.takeIf { it.term == message.term } ?: return
        action(current)
        advanceCommit(current)
    }

    /** Leads no longer, since new entries wait for the own disk; another member is elected, as this one does not vote. */
    private fun handleDiskRefused() {
        member.disk.refuse()
        stepDown()
    }

    private fun handleDiskDone(sequence: Long) {
        member.disk.complete(sequence).forEach(member::emit)
        election.onDiskDone(sequence)
        val current = leadership
        if (current == null) follower.onDiskDone() else advanceCommit(current)
    }

    /**
     * Commits what a quorum has on disk, and then continues everything that waits for it. Answers come first. New
     * entries follow: those of proposals deferred since the election, once this leader is ready, and the next step of a
     * membership change. Entries are sent last, so that one write and one message contain all of them. A leader that
     * was removed from the membership steps down only after it has sent the commit index.
     */
    private fun advanceCommit(current: Leadership) {
        val wasReady = current.isReady
        val before = member.commitIndex
        current.committableIndex()?.let { index ->
            val applied = member.commitTo(index)
            current.updateProgress()
            proposals.answer(applied)
            if (!wasReady && current.isReady) {
                member.emit(RaftOutput.LeadershipGained(current.term))
                proposals.takeDeferred().forEach { accept(current, it) }
            }
        }
        val isCommitted = member.commitIndex > before
        // Shows in the log that the change is committed, which a member that has restarted cannot know otherwise.
        if (current.isReady && member.mustSettleMembers) current.append(Command.Noop)
        memberChanges?.advance()
        if (current.isReady) reads.confirm(current.quorumContactMs())
        member.snapshotIfDue()
        // If there are no entries to send, a heartbeat carries the commit index, so that the followers keep up.
        if (!current.flush() && isCommitted) current.heartbeat()
        if (!member.isVoter && member.commitIndex >= member.log.membersIndex) stepDown()
    }

    private fun tick(wallMs: Long) {
        member.wallMs = wallMs
        member.wallOffsetMs = wallMs - member.nowMs
        bootstrap.tick()
        election.tick()
        departure.tick(leadership)
        val current = leadership ?: return
        val isStalled = member.disk.isStalled(member.nowMs, member.timings.diskStallMs)
        if (isStalled || !current.hasQuorumContact()) return stepDown()
        current.tick()
        if (reads.isWaiting) current.heartbeat()
        advanceCommit(current)
    }

    private fun becomeLeader(lostDisks: Set<DiskIdentity>) {
        member.leader = member.identity
        val current = Leadership(member, lostDisks)
        leadership = current
        val changes = MemberChanges(member, current, proposals)
        memberChanges = changes
        policy = MembershipPolicy(member, current, changes)
        current.append(Command.Noop)
        current.flush()
        current.heartbeat()
    }

    /** Moves to a later term seen in a message, as a follower. */
    private fun moveToTerm(term: Long) {
        stepDown()
        member.leader = null
        member.saveHardState(HardState(term))
        election.resetTimeout()
    }

    private fun stepDown() {
        val current = leadership ?: return
        leadership = null
        memberChanges = null
        policy = null
        member.leader = null
        member.dropUnwritten()
        proposals.failAll()
        reads.failAll()
        if (current.isReady) member.emit(RaftOutput.LeadershipLost(current.term))
        election.resetTimeout()
    }

    private fun fail(reason: String) {
        stepDown()
        member.failure = reason
        member.emit(RaftOutput.Stopped(reason))
    }
}
