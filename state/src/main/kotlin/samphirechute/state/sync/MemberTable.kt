package samphirechute.state.sync

import samphirechute.core.InstanceId
import samphirechute.state.SteppedClock
import java.util.TreeMap

/** The members of the own failure domain with the time since each heartbeat last advanced. */
internal class MemberTable(
    private val self: InstanceId,
) {
    private val entries = TreeMap<InstanceId, Entry>()
    private val clock = SteppedClock()
    private var cachedHash: Int? = null

    /** Equal on two instances that know the same incarnations, revisions and departures. */
    val hash: Int
        get() =
            cachedHash ?: entries
                .map { (id, it) -> listOf(id, it.row.incarnation, it.row.revision, it.row.isLeaving) }
                .hashCode()
                .also { cachedHash = it }

    val rows: Map<InstanceId, MemberRow> get() = entries.mapValues { it.value.row }

    val size: Int get() = entries.size

    val members: List<Member> get() = entries.map { (id, entry) -> entry.member(id) }

    /** Advances time and returns the members whose health changed. */
    fun advance(nowMs: Long): List<Member> {
        clock.advance(nowMs)
        return entries.mapNotNull { (id, entry) -> entry.changed(id) }
    }

    /** Returns the member when anything but its heartbeat changed. */
    fun merge(
        instance: InstanceId,
        row: MemberRow,
    ): Member? {
        val entry = entries[instance]
        if (entry == null || row.incarnation > entry.row.incarnation) {
            entries[instance] = Entry(row, clock.elapsedMs)
            cachedHash = null
            return entries.getValue(instance).changed(instance)
        }
        if (row.incarnation < entry.row.incarnation) return null
        if (row.heartbeat > entry.row.heartbeat) entry.advancedMs = clock.elapsedMs
        val merged =
            entry.row.copy(
                heartbeat = maxOf(row.heartbeat, entry.row.heartbeat),
                revision = maxOf(row.revision, entry.row.revision),
                isLeaving = row.isLeaving || entry.row.isLeaving,
            )
        if (merged.revision != entry.row.revision || merged.isLeaving != entry.row.isLeaving) cachedHash = null
        entry.row = merged
        return entry.changed(instance)
    }

    /** Heartbeats are only meaningful between tables with equal hashes, which name equal incarnations. */
    fun mergeHeartbeat(
        instance: InstanceId,
        heartbeat: Long,
    ): Member? = entries[instance]?.let { merge(instance, it.row.copy(heartbeat = heartbeat)) }

    private fun Entry.member(id: InstanceId): Member {
        val silentMs = if (id == self) 0 else clock.elapsedMs - advancedMs
        val health =
            when {
                silentMs >= DEAD_MS -> MemberHealth.DEAD
                silentMs >= SUSPECTED_MS -> MemberHealth.SUSPECTED
                else -> MemberHealth.ALIVE
            }
        return Member(id, row.incarnation, row.heartbeat, row.revision, row.isLeaving, health)
    }

    private fun Entry.changed(id: InstanceId): Member? {
        val member = member(id)
        val isSame = reported?.copy(heartbeat = member.heartbeat) == member
        reported = member
        return member.takeUnless { isSame }
    }

    private class Entry(
        var row: MemberRow,
        var advancedMs: Long,
        var reported: Member? = null,
    )
}
