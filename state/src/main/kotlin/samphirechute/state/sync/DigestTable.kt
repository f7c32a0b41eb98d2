package samphirechute.state.sync

import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import java.util.TreeMap

/** The latest digest of each failure domain, until it is no longer fresh. */
internal class DigestTable {
    private val entries = TreeMap<FailureDomain, Entry>()

    val coordinators: Set<InstanceId> get() = entries.values.mapTo(mutableSetOf()) { it.digest.coordinator }

    /** Returns true when [digest] is newer than the one known. */
    fun put(
        digest: DomainDigest,
        nowMs: Long,
    ): Boolean {
        if (digest.ageMs >= DIGEST_FRESH_MS) return false
        val known = entries[digest.failureDomain]
        if (known != null && known.digest.version >= digest.version) return false
        entries[digest.failureDomain] = Entry(digest.copy(ageMs = 0), nowMs - digest.ageMs.coerceAtLeast(0))
        return true
    }

    /** Drops what is no longer fresh; true when something was dropped. */
    fun expire(nowMs: Long): Boolean = entries.values.removeIf { nowMs - it.bornMs >= DIGEST_FRESH_MS }

    fun isOlderThan(
        failureDomain: FailureDomain,
        ageMs: Long,
        nowMs: Long,
    ): Boolean = entries[failureDomain]?.let { nowMs - it.bornMs >= ageMs } != false

    fun get(failureDomain: FailureDomain): DomainDigest? = entries[failureDomain]?.digest

    /** The digests with their age now. */
    fun all(nowMs: Long): List<DomainDigest> = entries.values.map { it.digest.copy(ageMs = nowMs - it.bornMs) }

    private class Entry(
        val digest: DomainDigest,
        val bornMs: Long,
    )
}
