package samphirechute.state.sync

import samphirechute.core.InstanceId
import samphirechute.state.SteppedClock
import java.util.TreeMap

/**
 * The members of the own failure domain, with the time since each heartbeat last advanced. Health follows from this
 * time, which is measured with a [SteppedClock] so that a pause of this instance makes no other look dead.
 */
internal class MemberTable(
    private val self: InstanceId,
) {
    private val entries = TreeMap<InstanceId, Entry>()
    private val clock = SteppedClock()
    private var cachedHash: Int? = null

    /** Equal on two instances that know the same members with equal incarnations, revisions and leaving flags. */
    val hash: Int
        get() =
            cachedHash ?: entries
                .map { (id, it) -> listOf(id, it.row.incarnation, it.row.revision, it.row.isLeaving) }
                .hashCode()
                .also { cachedHash = it }

    val rows: Map<InstanceId, MemberRow> get() = entries.mapValues { it.value.row }

    val size: Int get() = entries.size

    val members: List<Member> get() = entries.map { (id, entry) -> entry.member(id) }

    /** Advances the time, and returns the members whose health changed. */
    fun advance(nowMs: Long): List<Member> {
        clock.advance(nowMs)
        return entries.mapNotNull { (id, entry) -> entry.reportChange(id) }
    }

    /** Takes over what is newer in [row]. Returns the member when anything but its heartbeat changed. */
    fun merge(
        instance: InstanceId,
        row: MemberRow,
    ): Member? {
        val entry = entries[instance]
        if (entry == null || row.incarnation > entry.row.incarnation) {
            entries[instance] = Entry(row, clock.elapsedMs)
            cachedHash = null
            return entries.getValue(instance).reportChange(instance)
        }
        if (row.incarnation < entry.row.incarnation) return null
        if (row.heartbeat > entry.row.heartbeat) entry.heartbeatAdvancedMs = clock.elapsedMs
        val merged =
            entry.row.copy(
                heartbeat = maxOf(row.heartbeat, entry.row.heartbeat),
                revision = maxOf(row.revision, entry.row.revision),
                isLeaving = row.isLeaving || entry.row.isLeaving,
            )
        if (merged.revision != entry.row.revision || merged.isLeaving != entry.row.isLeaving) cachedHash = null
        entry.row = merged
        return entry.reportChange(instance)
    }

    /**
     * Takes over [heartbeat] when it is newer. Call only for a sender with an equal [hash]: a heartbeat belongs to an
     * incarnation, which is not sent with it, and equal hashes mean equal incarnations.
     */
    fun mergeHeartbeat(
        instance: InstanceId,
        heartbeat: Long,
    ): Member? = entries[instance]?.let { merge(instance, it.row.copy(heartbeat = heartbeat)) }

    private fun Entry.member(id: InstanceId): Member {
        val silentMs = if (id == self) 0 else clock.elapsedMs - heartbeatAdvancedMs
        val health =
            when {
                silentMs >= DEAD_MS -> MemberHealth.DEAD
                silentMs >= SUSPECTED_MS -> MemberHealth.SUSPECTED
                else -> MemberHealth.ALIVE
            }
        return Member(id, row.incarnation, row.heartbeat, row.revision, row.isLeaving, health)
    }

    /** The member when it differs, apart from its heartbeat, from what was last returned; otherwise null. */
    private fun Entry.reportChange(id: InstanceId): Member? {
        val member = member(id)
        val isSame = reported?.copy(heartbeat = member.heartbeat) == member
        reported = member
        return member.takeUnless { isSame }
    }

    private class Entry(
        var row: MemberRow,
        var heartbeatAdvancedMs: Long,
        var reported: Member? = null,
    )
}
