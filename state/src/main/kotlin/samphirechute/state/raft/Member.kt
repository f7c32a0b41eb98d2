package samphirechute.state.raft

import samphirechute.core.InstanceId
import samphirechute.state.command.StoreMember
import samphirechute.state.store.StoreState
import samphirechute.state.store.recordCount
import kotlin.random.Random

/** The part of a member that its roles share: log, term and vote, applied state, and the outputs of one input. */
internal class Member(
    val self: StoreMember,
    val peers: Set<InstanceId>,
    restored: RestoredLog,
    val timings: RaftTimings,
    val random: Random,
    startMs: Long,
) {
    val identity = self.identity
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

    /** Wall clock minus monotonic clock. */
    var wallOffsetMs: Long? = null
    var leader: DiskIdentity? = null

    /** A member that has just started may have heard from a leader right before, and must honour its lease. */
    var lastLeaderContactMs = if (timings.hasLeaseReads) startMs else startMs - timings.electionMinMs
    var failure: String? = null
    private var outputs = ArrayList<RaftOutput>()

    /** Entries up to here are on the disk or in a write that was put out. */
    var writtenIndex = log.lastIndex
        private set
    private var snapshotIndex = state.index
    private var bytesSinceSnapshot = restored.entries.sumOf { it.approximateBytes().toLong() }
    private var snapshotInterval = nextSnapshotInterval()

    val term get() = hardState.term
    val isEmpty get() = log.lastIndex == 0L
    val voters get() = log.members
    val isVoter get() = voters.any { it.identity == identity }
    val majority get() = voters.size / 2 + 1

    fun isVoter(identity: DiskIdentity) = voters.any { it.identity == identity }

    fun findVoter(identity: DiskIdentity?): StoreMember? = voters.find { it.identity == identity }

    fun emit(output: RaftOutput) {
        outputs += output
    }

    fun send(
        to: InstanceId,
        message: RaftMessage,
    ) = emit(RaftOutput.Send(to, message))

    /** Sends [message] once all writes put out so far are durable, because it promises what they hold. */
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

    /** Puts out the entries that were appended since the last write, after a truncation if there was one. */
    fun writeAppended(truncateFrom: Long? = null) {
        if (truncateFrom != null) writtenIndex = minOf(writtenIndex, truncateFrom - 1)
        val entries = log.slice(writtenIndex + 1)
        if (entries.isEmpty() && truncateFrom == null) return
        writtenIndex = log.lastIndex
        val sequence = disk.issue(nowMs, writtenIndex)
        emit(RaftOutput.Write(DiskWrite(sequence, truncateFrom = truncateFrom, entries = entries)))
    }

    fun truncateFrom(index: Long) {
        check(index > commitIndex) { "entry $index is committed and cannot be replaced" }
        log.truncateFrom(index)
        disk.truncateFrom(index)
    }

    /** Drops appended entries that were neither written nor sent. */
    fun dropUnwritten() {
        if (log.lastIndex > writtenIndex) log.truncateFrom(writtenIndex + 1)
    }

    /** Applies entries up to [index]; returns what was applied. */
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

    /** Writes a snapshot when enough was applied since the last one, and forgets the entries well behind it. */
    fun snapshotIfDue() {
        val isDue = state.index - snapshotIndex >= snapshotInterval || bytesSinceSnapshot >= timings.snapshotBytes
        if (!isDue || state.index == snapshotIndex || state.index > writtenIndex || disk.hasSnapshot) return
        writeSnapshot()
        log.compactTo(minOf(state.index, maxOf(log.baseIndex, state.index - timings.trailingEntries)))
    }

    /** Replaces the state by a snapshot of the leader. Entries after it are kept if they continue it. */
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

    /** Spread out, so that the members do not all write their snapshots at once. */
    private fun nextSnapshotInterval(): Long {
        val distance = maxOf(timings.snapshotEntries, state.recordCount / 2)
        return distance + random.nextLong(distance / 2L + 1)
    }
}
