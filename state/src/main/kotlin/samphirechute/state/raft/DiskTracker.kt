package samphirechute.state.raft

/**
 * Tracks the disk writes in progress: which log entries are durable, and which outputs wait until a write is. [Member]
 * registers each write here, and [RaftNode] reports when the disk has finished one.
 */
internal class DiskTracker(
    durableIndex: Long,
) {
    var durableIndex = durableIndex
        private set
    private val pending = ArrayDeque<Pending>()
    private var issued = 0L

    /** True while the disk refuses the oldest write. */
    var isRefusing = false
        private set

    /** The size of the entries in writes that are not durable yet. */
    val pendingBytes get() = pending.sumOf { it.bytes }

    val isIdle get() = pending.isEmpty()
    val hasSnapshot get() = pending.any { it.isSnapshot }
    val lastIssued get() = issued

    /** When the oldest write in progress was issued, or null. */
    val oldestIssuedMs get() = pending.firstOrNull()?.issuedMs

    /** Registers a write after which the log on disk ends at [lastIndex], and returns its sequence number. */
    fun issue(
        nowMs: Long,
        lastIndex: Long,
        isSnapshot: Boolean = false,
        bytes: Long = 0,
    ): Long {
        pending += Pending(++issued, nowMs, lastIndex, isSnapshot, bytes)
        return issued
    }

    fun refuse() {
        isRefusing = pending.isNotEmpty()
    }

    /**
     * Returns [output] if no write is pending. Otherwise queues it behind the latest write, and [complete] returns it.
     */
    fun whenDurable(output: RaftOutput): RaftOutput? {
        val last = pending.lastOrNull() ?: return output
        last.outputs += output
        return null
    }

    /** Marks the writes up to [sequence] as durable and returns the outputs that waited for them. */
    fun complete(sequence: Long): List<RaftOutput> {
        val released = ArrayList<RaftOutput>()
        isRefusing = false
        while (pending.isNotEmpty() && pending.first().sequence <= sequence) {
            val write = pending.removeFirst()
            durableIndex = write.lastIndex
            released += write.outputs
        }
        return released
    }

    /** Stops counting the entries from [index] on as durable, even if a write that contains them completes later. */
    fun truncateFrom(index: Long) {
        durableIndex = minOf(durableIndex, index - 1)
        pending.forEach { it.lastIndex = minOf(it.lastIndex, index - 1) }
    }

    /**
     * True when the oldest write has taken longer than [limitMs], or ten times that while a snapshot is being written.
     */
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
        val bytes: Long,
        val outputs: MutableList<RaftOutput> = ArrayList(),
    )

    private companion object {
        const val SNAPSHOT_FACTOR = 10
    }
}
