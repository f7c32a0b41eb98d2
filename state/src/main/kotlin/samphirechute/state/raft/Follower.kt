package samphirechute.state.raft

import samphirechute.state.raft.RaftMessage.AppendReply
import samphirechute.state.raft.RaftMessage.AppendRequest
import samphirechute.state.raft.RaftMessage.SnapshotReply
import samphirechute.state.raft.RaftMessage.SnapshotRequest
import samphirechute.state.store.StoreState
import samphirechute.state.store.plus

/**
 * The follower role: stores the entries and snapshots that the leader sends, commits what the leader has committed and
 * acknowledges what is durable. [RaftNode] calls it only for requests of the current term.
 */
internal class Follower(
    private val member: Member,
) {
    /** The log matches the leader's up to this index. Valid for the leader of [matchTerm]. */
    private var matchIndex = 0L
    private var matchTerm = 0L
    private var reportedIndex = 0L
    private var lastEchoMs = 0L
    private var incoming: IncomingSnapshot? = null

    fun onAppend(request: AppendRequest) {
        resetForTerm(request.term)
        lastEchoMs = request.sentMs
        val log = member.log
        val isOverfull = member.disk.isRefusing && member.disk.pendingBytes > member.timings.maxRefusedBytes
        if (isOverfull && request.entries.isNotEmpty()) return
        // Entries covered by the snapshot are committed, so they match the leader's log.
        val isCovered = request.prevIndex < log.baseIndex
        if (!isCovered && log.termAt(request.prevIndex) != request.prevTerm) {
            return reply(request.from, false, request.prevIndex, lastIndexBeforeTerm(request.prevIndex))
        }
        store(request.entries.filter { it.index > log.baseIndex })
        matchIndex = maxOf(matchIndex, request.prevIndex + request.entries.size)
        member.commitTo(minOf(request.commitIndex, matchIndex))
        reply(request.from, true, request.prevIndex, log.lastIndex)
    }

    fun onSnapshot(request: SnapshotRequest) {
        resetForTerm(request.term)
        lastEchoMs = request.sentMs
        if (request.lastIndex <= member.commitIndex) {
            incoming = null
            return confirmWhenDurable(request, request.partNumber + 1)
        }
        val id = Triple(request.term, request.lastIndex, request.from)
        val current = incoming?.takeIf { it.id == id } ?: IncomingSnapshot(id).also { incoming = it }
        if (request.partNumber == current.nextPart) {
            current.state = current.state.plus(request.part)
            current.nextPart++
            if (request.isLast) {
                incoming = null
                member.installSnapshot(current.state)
                matchIndex = maxOf(matchIndex, request.lastIndex)
                return confirmWhenDurable(request, current.nextPart)
            }
        }
        member.emit(replyToPart(request, current.nextPart))
    }

    /** Acknowledges further entries to the leader once they are durable. */
    fun onDiskDone() {
        val leader = member.leader ?: return
        if (matchTerm == member.term && durableMatchIndex() > reportedIndex) {
            reply(leader, true, matchIndex, member.log.lastIndex)
        }
    }

    private fun resetForTerm(term: Long) {
        if (term == matchTerm) return
        matchTerm = term
        matchIndex = 0
        reportedIndex = 0
        incoming = null
    }

    private fun store(entries: List<LogEntry>) {
        val newEntries = entries.dropWhile { member.log.termAt(it.index) == it.term }
        val first = newEntries.firstOrNull() ?: return
        val isConflict = first.index <= member.log.lastIndex
        if (isConflict) member.truncateFrom(first.index)
        newEntries.forEach(member::append)
        member.writeAppended(truncateFrom = if (isConflict) first.index else null)
    }

    /**
     * The last index that may still match after a mismatch at [prevIndex]. Skips the whole conflicting term, so that a
     * long diverged tail costs one round trip per term instead of one per entry.
     */
    private fun lastIndexBeforeTerm(prevIndex: Long): Long {
        val log = member.log
        if (prevIndex > log.lastIndex) return log.lastIndex
        val term = log.termAt(prevIndex)
        var index = prevIndex
        while (index > member.commitIndex && log.termAt(index) == term) index--
        return index
    }

    private fun durableMatchIndex() = minOf(matchIndex, member.disk.durableIndex)

    private fun reply(
        to: DiskIdentity,
        isMatch: Boolean,
        prevIndex: Long,
        lastIndex: Long,
    ) {
        val match = if (isMatch) durableMatchIndex() else 0
        reportedIndex = maxOf(reportedIndex, match)
        val reply =
            AppendReply(member.identity, member.term, isMatch, prevIndex, match, lastIndex, lastEchoMs, member.wallMs)
        member.send(to.instance, reply)
    }

    /**
     * Confirms the last part once the whole snapshot is durable. Until then, an answer that asks for it again keeps the
     * leader from taking a member whose disk is full for one that is gone.
     */
    private fun confirmWhenDurable(
        request: SnapshotRequest,
        nextPart: Int,
    ) {
        if (!member.disk.isIdle) member.emit(replyToPart(request, nextPart - 1))
        member.disk.whenDurable(replyToPart(request, nextPart))?.let(member::emit)
    }

    private fun replyToPart(
        request: SnapshotRequest,
        nextPart: Int,
    ): RaftOutput.Send {
        val reply =
            SnapshotReply(member.identity, member.term, request.lastIndex, nextPart, request.sentMs, member.wallMs)
        return RaftOutput.Send(request.from.instance, reply)
    }

    private class IncomingSnapshot(
        val id: Triple<Long, Long, DiskIdentity>,
        var nextPart: Int = 0,
        var state: StoreState = StoreState(),
    )
}
