package samphirechute.state.raft

import samphirechute.core.InstanceId
import samphirechute.state.command.StoreMember
import samphirechute.state.store.StoreState
import samphirechute.state.store.recordCount
import kotlin.random.Random

/**
 * The data that all roles of a member share: the log, the term and vote, the applied state, the clock and the outputs
 * of the current input. [RaftNode], [Election], [Follower], [Leadership] and their helpers read and change it.
 */
internal class Member(
    val self: StoreMember,
    peers: Set<InstanceId>,
    restored: RestoredLog,
    val timings: RaftTimings,
    val random: Random,
    startMs: Long,
) {
    val identity = self.identity

    /** The store members that the settings name, without this one. */
    var peers = peers
    var hardState = restored.hardState
        private set
    var state = restored.state
        private set
    val log = RaftLog(state.index, state.term, state.members, restored.entries)
    var commitIndex = state.index
        private set
    val disk = DiskTracker(log.lastIndex)
    var nowMs = startMs
    var wallMs = 0L

    /** Wall clock minus monotonic clock, or null before the first tick. */
    var wallOffsetMs: Long? = null
    var leader: DiskIdentity? = null

    /** The last leader that this member has heard from, also one that is no longer believed to lead. */
    var lastLeader: DiskIdentity? = null

    /**
     * When this member last heard from a leader. With lease reads, a member that has just started counts as having
     * heard from one, because it may have granted a lease right before the restart.
     */
    var lastLeaderContactMs = if (timings.hasLeaseReads) startMs else startMs - timings.electionMinMs
    var failure: String? = null

    /** True from the moment at which this member is asked to give up its vote. */
    var isLeaving = false
    private var outputs = ArrayList<RaftOutput>()

    /** Entries up to this index are on disk or in an issued write. */
    var writtenIndex = log.lastIndex
        private set
    private var snapshotIndex = state.index
    private var bytesSinceSnapshot = restored.entries.sumOf { it.approximateBytes().toLong() }
    private var snapshotInterval = nextSnapshotInterval()

    val term get() = hardState.term
    val isEmpty get() = log.lastIndex == 0L
    val voters get() = log.members
    val isVoter get() = voters.any { it.identity == identity }
    val lostDisks = LostDisks(this)

    /** True once the latest change of the membership is known to be committed. */
    val areMembersCommitted get() = log.membersIndex <= commitIndex || log.areMembersSettled

    /** True if the latest change of the membership is committed, but its log does not show it yet. */
    val mustSettleMembers get() = log.membersIndex <= commitIndex && !log.areMembersSettled

    fun isVoter(identity: DiskIdentity) = voters.any { it.identity == identity }

    fun findVoter(identity: DiskIdentity?): StoreMember? = voters.find { it.identity == identity }

    /** What a candidate or leader needs that knows of [lostDisks]. */
    fun quorum(lostDisks: Set<DiskIdentity> = emptySet()) =
        Quorum(if (areMembersCommitted) listOf(voters) else listOf(log.previousMembers, voters), lostDisks)

    fun emit(output: RaftOutput) {
        outputs += output
    }

    fun send(
        to: InstanceId,
        message: RaftMessage,
    ) = emit(RaftOutput.Send(to, message))

    /** Sends [message] once all writes issued so far are durable, because it promises their contents. */
    fun sendWhenDurable(
        to: InstanceId,
        message: RaftMessage,
    ) = disk.whenDurable(RaftOutput.Send(to, message))?.let(::emit)

    fun takeOutputs(): List<RaftOutput> = outputs.also { outputs = ArrayList() }

    fun electionTimeoutMs() = random.nextLong(timings.electionMinMs, timings.electionMaxMs + 1)

    fun firstElectionMs() =
        if (timings.hasLeaseReads) {
            electionTimeoutMs()
        } else {
            random.nextLong(timings.firstElectionMinMs, timings.firstElectionMaxMs + 1)
        }

    fun saveHardState(next: HardState) {
        if (next == hardState) return
        hardState = next
        emit(RaftOutput.Write(DiskWrite(disk.issue(nowMs, writtenIndex), hardState = next)))
    }

    fun append(entry: LogEntry) {
        log.append(entry)
        bytesSinceSnapshot += entry.approximateBytes()
    }

    /**
     * Issues a write of the entries appended since the last one, preceded by a truncation if [truncateFrom] is given.
     */
    fun writeAppended(truncateFrom: Long? = null) {
        if (truncateFrom != null) writtenIndex = minOf(writtenIndex, truncateFrom - 1)
        val entries = log.slice(writtenIndex + 1)
        if (entries.isEmpty() && truncateFrom == null) return
        writtenIndex = log.lastIndex
        val bytes = entries.sumOf { it.approximateBytes().toLong() }
        val sequence = disk.issue(nowMs, writtenIndex, bytes = bytes)
        emit(RaftOutput.Write(DiskWrite(sequence, truncateFrom = truncateFrom, entries = entries)))
    }

    fun truncateFrom(index: Long) {
        check(index > commitIndex) { "entry $index is committed and cannot be replaced" }
        log.truncateFrom(index)
        disk.truncateFrom(index)
    }

    /** Removes appended entries that were neither written nor sent. */
    fun dropUnwritten() {
        if (log.lastIndex > writtenIndex) log.truncateFrom(writtenIndex + 1)
    }

    /** Commits and applies the entries up to [index], and returns those applied. */
    fun commitTo(index: Long): List<AppliedEntry> {
        if (index <= commitIndex) return emptyList()
        commitIndex = index
        val applied = ArrayList<AppliedEntry>()
        while (state.index < commitIndex) {
            val entry = checkNotNull(log[state.index + 1]) { "entry ${state.index + 1} is not in memory" }
            val next = state.apply(entry.index, entry.timed, entry.term)
            state = next.state
            applied += AppliedEntry(entry.index, entry.term, entry.timed.command, next.result)
        }
        emit(RaftOutput.Apply(applied))
        return applied
    }

    /** Writes a snapshot if enough was applied since the last one, and drops all but the trailing entries before it. */
    fun snapshotIfDue() {
        val isDue = state.index - snapshotIndex >= snapshotInterval || bytesSinceSnapshot >= timings.snapshotBytes
        if (!isDue || state.index == snapshotIndex || state.index > writtenIndex || disk.hasSnapshot) return
        writeSnapshot()
        log.compactTo(minOf(state.index, maxOf(log.baseIndex, state.index - timings.trailingEntries)))
    }

    /** Replaces the state with a snapshot from the leader. Keeps later entries if the log contains its last entry. */
    fun installSnapshot(next: StoreState) {
        val isContinued = log.termAt(next.index) == next.term
        if (isContinued) {
            log.compactTo(next.index)
        } else {
            disk.truncateFrom(commitIndex + 1)
            log.resetTo(next.index, next.term, next.members)
            writtenIndex = next.index
        }
        state = next.copy(limits = state.limits)
        commitIndex = maxOf(commitIndex, next.index)
        writeSnapshot()
        emit(RaftOutput.SnapshotInstalled(state))
    }

    private fun writeSnapshot() {
        val entries = log.slice(state.index + 1, writtenIndex)
        val sequence = disk.issue(nowMs, writtenIndex, isSnapshot = true)
        emit(RaftOutput.Write(DiskWrite(sequence, hardState, state, entries = entries)))
        snapshotIndex = state.index
        bytesSinceSnapshot = entries.sumOf { it.approximateBytes().toLong() }
        snapshotInterval = nextSnapshotInterval()
    }

    /**
     * Entries until the next snapshot, with a random part so that the members do not all write one at the same time.
     */
    private fun nextSnapshotInterval(): Long {
        val distance = maxOf(timings.snapshotEntries, state.recordCount / 2)
        return distance + random.nextLong(distance / 2L + 1)
    }
}
