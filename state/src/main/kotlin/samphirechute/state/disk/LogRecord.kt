package samphirechute.state.disk

import kotlinx.serialization.Serializable
import samphirechute.state.raft.DiskWrite
import samphirechute.state.raft.HardState
import samphirechute.state.raft.LogEntry
import samphirechute.state.raft.RestoredLog

/**
 * The content of one record in a log file. All writes of one sync form one record, so only the last record of a file
 * can be torn. Damage before a valid record is therefore corruption.
 */
@Serializable
internal data class LogRecord(
    val changes: List<LogChange>,
)

/** One write in the log. Entries from [truncateFrom] on are removed before [entries] are added. */
@Serializable
internal data class LogChange(
    val hardState: HardState? = null,
    val truncateFrom: Long? = null,
    val entries: List<LogEntry> = emptyList(),
)

/** The last record of a snapshot file. Without it the file is incomplete. */
@Serializable
internal data class SnapshotEnd(
    val parts: Int,
)

internal fun DiskWrite.toChange() = LogChange(hardState, truncateFrom, entries)

/** Rebuilds the log from the changes in a log file. */
internal class LogBuilder(
    private var restored: RestoredLog,
) {
    private val entries = ArrayList(restored.entries)
    private val nextIndex get() = restored.state.index + entries.size + 1

    /** Applies [change]. Returns false if an entry does not follow the previous one. */
    fun add(change: LogChange): Boolean {
        change.hardState?.let { restored = restored.copy(hardState = it) }
        change.truncateFrom?.let(::truncateFrom)
        val isContiguous = change.entries.withIndex().all { (position, entry) -> entry.index == nextIndex + position }
        entries += change.entries
        return isContiguous
    }

    fun build(): RestoredLog = restored.copy(entries = entries)

    private fun truncateFrom(index: Long) {
        while (entries.isNotEmpty() && entries.last().index >= index) entries.removeLast()
    }
}
