package samphirechute.serving.cluster

import samphirechute.core.HostPort
import samphirechute.core.UpstreamId

/**
 * The newest record of each upstream. Records may arrive late, twice or out of order. Addresses are reused: of two
 * upstreams with one address, the one that started later holds it. Each instance has one table and changes it on its
 * event loop.
 */
class UpstreamTable {
    private val records = HashMap<UpstreamId, Entry>()

    /** The upstream that holds each address. */
    private val holders = HashMap<HostPort, UpstreamId>()

    /** Grows with each changed record. */
    var version = 0L
        private set

    /** Stores a record; false when something newer is known of the upstream or of another one at its address. */
    fun merge(
        record: UpstreamRecord,
        nowMs: Long,
    ): Boolean {
        val known = records[record.id]?.record
        if (known != null && !record.isNewerThan(known)) return false
        val holder = holder(record.address)?.takeIf { it.id != record.id }
        if (holder != null) {
            if (holder.bornMs > record.bornMs) return false
            put(holder.copy(state = UpstreamState.GONE), nowMs)
        }
        put(record, nowMs)
        if (record.state != UpstreamState.GONE) holders[record.address] = record.id
        return true
    }

    /** Updates the sequence number after an announcement that changes nothing else. */
    fun refresh(
        id: UpstreamId,
        sequence: Long,
    ) {
        val entry = records[id] ?: return
        if (sequence > entry.record.sequence) entry.record = entry.record.copy(sequence = sequence)
    }

    /** Returns the upstream at [address] that has not left, or null. */
    fun holder(address: HostPort): UpstreamRecord? =
        holders[address]?.let { records[it]?.record }?.takeIf { it.state != UpstreamState.GONE }

    operator fun get(id: UpstreamId): UpstreamRecord? = records[id]?.record

    /** Returns whether the upstream is known and has not left. */
    fun isPresent(id: UpstreamId): Boolean = records[id]?.record?.state.let { it != null && it != UpstreamState.GONE }

    fun all(): List<UpstreamRecord> = records.values.map { it.record }

    /** The records that have changed since [version]. */
    fun changedAfter(version: Long): List<UpstreamRecord> =
        records.values.filter { it.version > version }.map { it.record }

    /** Removes upstreams that left so long ago that no late announcement of them is to be expected. */
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
