package samphirechute.state.raft

import kotlinx.collections.immutable.PersistentList
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember
import samphirechute.state.store.addOrReplace
import samphirechute.state.store.without

/**
 * The log entries in memory and the membership at each of them. The entries follow a base, the last entry that was
 * dropped because a snapshot covers it.
 */
internal class RaftLog(
    var baseIndex: Long,
    var baseTerm: Long,
    private var baseMembers: PersistentList<StoreMember>,
    entries: List<LogEntry>,
) {
    private val entries = ArrayList<LogEntry>()
    private val membershipChanges = ArrayList<MemberChange>()

    init {
        entries.forEach(::append)
    }

    val lastIndex get() = baseIndex + entries.size
    val lastTerm get() = entries.lastOrNull()?.term ?: baseTerm
    val lastAtMs get() = entries.lastOrNull()?.timed?.atMs

    /** The revision of the latest configuration among the entries, or null. */
    val lastRevision get() =
        entries.asReversed().firstNotNullOfOrNull { (it.timed.command as? Command.AdoptConfig)?.revision }

    /** The current membership, which is that after the latest entry, committed or not. */
    val members get() = membershipChanges.lastOrNull()?.members ?: baseMembers

    /** The index of the latest membership change, or the base index if there is none in memory. */
    val membersIndex get() = membershipChanges.lastOrNull()?.index ?: baseIndex

    /** The membership before the latest change in memory. */
    val previousMembers get() = membershipChanges.getOrNull(membershipChanges.size - 2)?.members ?: baseMembers

    /**
     * True if this log shows that the latest membership change was committed, also after a restart, when the commit index
     * is not known yet. A leader appends [Command.Noop] again once the change is committed. The members that founded the
     * store (term 0) have no membership before theirs.
     */
    val areMembersSettled: Boolean
        get() = membershipChanges.lastOrNull().let { it == null || it.term == 0L || it.settledIndex != null }

    fun append(entry: LogEntry) {
        check(entry.index == lastIndex + 1) { "entry ${entry.index} does not follow entry $lastIndex" }
        val next =
            when (val command = entry.timed.command) {
                is Command.AddMember -> members.addOrReplace(command.member)
                is Command.RemoveMember -> members.without(command.instance)
                else -> null
            }
        val isSettling = entry.timed.command == Command.Noop && entry.term == lastTerm
        entries += entry
        if (next != null) membershipChanges += MemberChange(entry.index, entry.term, next)
        if (isSettling) membershipChanges.lastOrNull()?.run { settledIndex = settledIndex ?: entry.index }
    }

    /** The entry at [index], or null if it is not in memory. */
    operator fun get(index: Long): LogEntry? = entries.getOrNull((index - baseIndex - 1).toInt())

    /** The term of the entry at [index], or null if it is neither in memory nor the base. */
    fun termAt(index: Long): Long? = if (index == baseIndex) baseTerm else get(index)?.term

    fun truncateFrom(index: Long) {
        check(index > baseIndex) { "entry $index is covered by a snapshot" }
        while (lastIndex >= index) entries.removeLast()
        membershipChanges.removeAll { it.index >= index }
        membershipChanges.lastOrNull()?.run { settledIndex = settledIndex?.takeIf { it < index } }
    }

    /** Drops the entries up to [index], which becomes the base. */
    fun compactTo(index: Long) {
        if (index <= baseIndex) return
        val term = checkNotNull(termAt(index)) { "entry $index is not in memory" }
        membershipChanges.lastOrNull { it.index <= index }?.let { baseMembers = it.members }
        membershipChanges.removeAll { it.index <= index }
        entries.subList(0, (index - baseIndex).toInt()).clear()
        baseIndex = index
        baseTerm = term
    }

    /** Replaces the whole log with an empty one after the given base. */
    fun resetTo(
        index: Long,
        term: Long,
        members: PersistentList<StoreMember>,
    ) {
        entries.clear()
        membershipChanges.clear()
        baseIndex = index
        baseTerm = term
        baseMembers = members
    }

    /** The entries from [from] to [to], limited to [maxEntries] and roughly [maxBytes]. */
    fun slice(
        from: Long,
        to: Long = lastIndex,
        maxEntries: Int = Int.MAX_VALUE,
        maxBytes: Int = Int.MAX_VALUE,
    ): List<LogEntry> {
        val result = ArrayList<LogEntry>()
        var bytes = 0
        var index = from
        while (index <= to && result.size < maxEntries && bytes < maxBytes) {
            val entry = get(index++) ?: break
            result += entry
            bytes += entry.approximateBytes()
        }
        return result
    }

    private class MemberChange(
        val index: Long,
        val term: Long,
        val members: PersistentList<StoreMember>,
        /** The first entry that shows that the change was committed. */
        var settledIndex: Long? = null,
    )
}

/** An estimate of the encoded size, used to limit batches and the log between snapshots. */
internal fun LogEntry.approximateBytes(): Int =
    when (val command = timed.command) {
        is Command.FinishClaim -> ENTRY_BYTES + (command.result.body?.length ?: 0)
        is Command.AdoptConfig -> ENTRY_BYTES + command.content.length
        is Command.PublishConfig -> ENTRY_BYTES + command.services.size * ENTRY_BYTES
        else -> ENTRY_BYTES
    }

private const val ENTRY_BYTES = 300
