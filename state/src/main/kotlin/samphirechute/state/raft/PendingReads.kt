package samphirechute.state.raft

/**
 * Reads that wait for a majority to confirm the leader. The lease alone does not do: the clock of a process stands still
 * while its machine is suspended, so a leader that wakes up believes its lease to be young.
 */
internal class PendingReads(
    private val member: Member,
) {
    private val pending = ArrayDeque<Pair<Long, Long>>()

    val isWaiting get() = pending.isNotEmpty()

    fun add(token: Long) {
        pending += member.nowMs to token
    }

    /** Confirms the reads that came before a request which a majority has answered. */
    fun confirm(quorumContactMs: Long?) {
        if (quorumContactMs == null) return
        while (pending.isNotEmpty() && pending.first().first < quorumContactMs) {
            member.emit(RaftOutput.ReadChecked(pending.removeFirst().second, isConfirmed = true))
        }
    }

    fun failAll() {
        pending.forEach { (_, token) -> member.emit(RaftOutput.ReadChecked(token, isConfirmed = false)) }
        pending.clear()
    }
}
