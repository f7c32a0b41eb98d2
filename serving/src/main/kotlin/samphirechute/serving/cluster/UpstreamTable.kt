package samphirechute.serving.cluster

import samphirechute.core.HostPort
import samphirechute.core.UpstreamId

/**
 * The newest record of each upstream. Records come late, repeated and out of order, and addresses are used again by other
 * upstreams: of two that name one address, the one that started later holds it.
 */
class UpstreamTable {
    private val records = HashMap<UpstreamId, Entry>()
    private val holders = HashMap<HostPort, UpstreamId>()
    var version = 0L
        private set

    /** Takes in a record; false when what is known is newer. */
    fun merge(
        record: UpstreamRecord,
        nowMs: Long,
    ): Boolean {
        val known = records[record.id]?.record
        if (known != null && !record.isNewerThan(known)) return false
        val holder = holders[record.address]?.takeIf { it != record.id }?.let { records[it]?.record }
        if (holder != null && holder.state != UpstreamState.GONE) {
            if (holder.bornMs > record.bornMs) return false
            put(holder.copy(state = UpstreamState.GONE), nowMs)
        }
        put(record, nowMs)
        if (record.state != UpstreamState.GONE) holders[record.address] = record.id
        return true
    }

    /** Notes an announcement that changes nothing but the time. */
    fun refresh(
        id: UpstreamId,
        sequence: Long,
    ) {
        val entry = records[id] ?: return
        if (sequence > entry.record.sequence) entry.record = entry.record.copy(sequence = sequence)
    }

    operator fun get(id: UpstreamId): UpstreamRecord? = records[id]?.record

    fun all(): List<UpstreamRecord> = records.values.map { it.record }

    fun changedAfter(version: Long): List<UpstreamRecord> =
        records.values.filter { it.version > version }.map { it.record }

    /** Forgets upstreams that ended long ago, whose late announcements are no longer to be expected. */
    fun forgetGone(nowMs: Long) {
        records.values.removeIf { it.record.state == UpstreamState.GONE && nowMs - it.changedMs > GONE_KEEP_MS }
        holders.values.removeIf { it !in records }
    }

    private fun put(
        record: UpstreamRecord,
        nowMs: Long,
    ) {
        records[record.id] = Entry(record, ++version, nowMs)
    }

    private class Entry(
        var record: UpstreamRecord,
        val version: Long,
        val changedMs: Long,
    )

    private companion object {
        const val GONE_KEEP_MS = 120_000L
    }
}
