package samphirechute.state.raft

/**
 * Reads on the leader that wait for a majority to confirm its leadership. The lease alone is not sufficient: the clock
 * of a process stops while its machine is suspended, so a leader that resumes still considers an old lease valid.
 */
internal class PendingReads(
    private val member: Member,
) {
    private val pending = ArrayDeque<Pair<Long, Long>>()

    val isWaiting get() = pending.isNotEmpty()

    fun add(token: Long) {
        pending += member.nowMs to token
    }

    /**
     * Confirms the reads that arrived before [quorumContactMs], when a request was sent that a majority has answered.
     */
    fun confirm(quorumContactMs: Long?) {
        if (quorumContactMs == null) return
        while (pending.isNotEmpty() && pending.first().first < quorumContactMs) {
            member.emit(RaftOutput.ReadChecked(pending.removeFirst().second, isConfirmed = true))
        }
    }

    /** Answers all waiting reads as unconfirmed, because leadership has ended. */
    fun failAll() {
        pending.forEach { (_, token) -> member.emit(RaftOutput.ReadChecked(token, isConfirmed = false)) }
        pending.clear()
    }
}
