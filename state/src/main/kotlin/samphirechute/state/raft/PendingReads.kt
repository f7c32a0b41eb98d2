package samphirechute.state.raft

/**
 * Reads that wait for a majority to confirm the leader. The lease alone does not do: the clock of a process stands still
 * while its machine is suspended, so a leader that wakes up believes its lease to be young.
 */
internal class PendingReads(
    private val member: Member,
) {
    private val waiting = ArrayDeque<Pair<Long, Long>>()

    val isWaiting get() = waiting.isNotEmpty()

    fun add(token: Long) {
        waiting += member.nowMs to token
    }

    /** Confirms the reads that came before a request which a majority has answered. */
    fun confirm(quorumContactMs: Long?) {
        if (quorumContactMs == null) return
        while (waiting.isNotEmpty() && waiting.first().first < quorumContactMs) {
            member.emit(RaftOutput.ReadChecked(waiting.removeFirst().second, isConfirmed = true))
        }
    }

    fun abandon() {
        waiting.forEach { (_, token) -> member.emit(RaftOutput.ReadChecked(token, isConfirmed = false)) }
        waiting.clear()
    }
}
