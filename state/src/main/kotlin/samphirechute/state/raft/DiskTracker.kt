package samphirechute.state.raft

/** Follows the writes that were put out: which entries are durable, and which messages wait for a write. */
internal class DiskTracker(
    durableIndex: Long,
) {
    var durableIndex = durableIndex
        private set
    private val pending = ArrayDeque<Pending>()
    private var issued = 0L

    val isIdle get() = pending.isEmpty()
    val hasSnapshot get() = pending.any { it.isSnapshot }
    val lastIssued get() = issued

    /** Returns the sequence of a write after which the log on disk ends at [lastIndex]. */
    fun issue(
        nowMs: Long,
        lastIndex: Long,
        isSnapshot: Boolean = false,
    ): Long {
        pending += Pending(++issued, nowMs, lastIndex, isSnapshot)
        return issued
    }

    /** Returns [output] when nothing has to be awaited; otherwise it comes from [complete]. */
    fun whenDurable(output: RaftOutput): RaftOutput? {
        val last = pending.lastOrNull() ?: return output
        last.outputs += output
        return null
    }

    /** Writes up to [sequence] are durable; returns the outputs that waited for them. */
    fun complete(sequence: Long): List<RaftOutput> {
        val released = ArrayList<RaftOutput>()
        while (pending.isNotEmpty() && pending.first().sequence <= sequence) {
            val write = pending.removeFirst()
            durableIndex = write.lastIndex
            released += write.outputs
        }
        return released
    }

    /** Entries from [index] on no longer count, even if a write that holds them completes later. */
    fun truncateFrom(index: Long) {
        durableIndex = minOf(durableIndex, index - 1)
        pending.forEach { it.lastIndex = minOf(it.lastIndex, index - 1) }
    }

    /** True when the oldest write takes longer than [limitMs]; writes behind a snapshot may take longer. */
    fun isStalled(
        nowMs: Long,
        limitMs: Long,
    ): Boolean {
        val oldest = pending.firstOrNull() ?: return false
        return nowMs - oldest.issuedMs > if (hasSnapshot) limitMs * SNAPSHOT_FACTOR else limitMs
    }

    private class Pending(
        val sequence: Long,
        val issuedMs: Long,
        var lastIndex: Long,
        val isSnapshot: Boolean,
        val outputs: MutableList<RaftOutput> = ArrayList(),
    )

    private companion object {
        const val SNAPSHOT_FACTOR = 10
    }
}
