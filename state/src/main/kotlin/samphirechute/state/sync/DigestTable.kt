package samphirechute.state.sync

import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import java.util.TreeMap

/** The latest digest of each failure domain, as long as it is younger than [DIGEST_FRESH_MS]. */
internal class DigestTable {
    private val entries = TreeMap<FailureDomain, Entry>()

    val coordinators: Set<InstanceId> get() = entries.values.mapTo(mutableSetOf()) { it.digest.coordinator }

    /** Stores [digest] unless it is too old or no newer than the known one. Returns whether it was stored. */
    fun put(
        digest: DomainDigest,
        nowMs: Long,
    ): Boolean {
        if (digest.ageMs >= DIGEST_FRESH_MS) return false
        val known = entries[digest.failureDomain]
        if (known != null && known.digest.version >= digest.version) return false
        val bytes = digest.payload.toString().length + OVERHEAD_BYTES
        entries[digest.failureDomain] = Entry(digest.copy(ageMs = 0), nowMs - digest.ageMs.coerceAtLeast(0), bytes)
        return true
    }

    /** Drops digests that are too old. Returns whether there were any. */
    fun expire(nowMs: Long): Boolean = entries.values.removeIf { nowMs - it.createdMs >= DIGEST_FRESH_MS }

    /** The age from which the coordinator is asked for a newer digest. It grows with the size of all digests. */
    val refreshMs: Long
        get() =
            (entries.values.sumOf { it.bytes } / DIGEST_BYTES_PER_MS).toLong().coerceIn(
                DIGEST_REFRESH_MS,
                DIGEST_RELAY_MS,
            )

    /** True also when no digest of [failureDomain] is known. */
    fun isOlderThan(
        failureDomain: FailureDomain,
        ageMs: Long,
        nowMs: Long,
    ): Boolean = entries[failureDomain]?.let { nowMs - it.createdMs >= ageMs } != false

    fun get(failureDomain: FailureDomain): DomainDigest? = entries[failureDomain]?.digest

    /** All digests with their age at [nowMs]. */
    fun all(nowMs: Long): List<DomainDigest> = entries.values.map { it.digest.copy(ageMs = nowMs - it.createdMs) }

    private class Entry(
        val digest: DomainDigest,
        val createdMs: Long,
        val bytes: Int,
    )

    private companion object {
        /** The encoded size of the fields of a digest besides its payload. */
        const val OVERHEAD_BYTES = 130
    }
}
