package samphirechute.routing.ledger

import samphirechute.core.InstanceId
import samphirechute.routing.Grant
import samphirechute.routing.GrantKey
import samphirechute.routing.PromptPrefix

/** The current grants of a coordinator by key and by holder, including those taken over from an earlier epoch. */
internal class GrantTable(
    private val limits: LedgerLimits,
) {
    private val byKey = HashMap<GrantKey, GrantRecord>()
    private val byHolder = HashMap<InstanceId, HashSet<GrantKey>>()

    /** When recent grants ended. A late renewal that still lists one must not restore it. */
    private val ended = LinkedHashMap<GrantKey, Long>()

    val isEmpty: Boolean get() = byKey.isEmpty()

    operator fun get(key: GrantKey) = byKey[key]

    fun add(record: GrantRecord) {
        byKey[record.grant.key] = record
        byHolder.getOrPut(record.grant.key.instance) { HashSet() } += record.grant.key
    }

    fun remove(
        key: GrantKey,
        nowMs: Long,
    ): GrantRecord? {
        val record = byKey.remove(key) ?: return null
        byHolder[key.instance]?.let { keys ->
            keys -= key
            if (keys.isEmpty()) byHolder -= key.instance
        }
        ended[key] = nowMs
        return record
    }

    fun hasEnded(key: GrantKey) = key in ended

    /**
     * Renews the grants that [instance] lists. Returns its other grants that are old enough to be listed, and were
     * therefore never used.
     */
    fun renew(
        instance: InstanceId,
        listed: Set<GrantKey>,
        nowMs: Long,
    ): List<GrantKey> {
        val unlisted = ArrayList<GrantKey>()
        for (key in byHolder[instance].orEmpty()) {
            val record = byKey.getValue(key)
            if (key in listed) {
                record.renewedMs = nowMs
            } else if (nowMs - record.grantedMs > limits.unusedMs) {
                unlisted += key
            }
        }
        return unlisted
    }

    /** The grants that were not renewed for a lease time. Also forgets grants that ended long ago. */
    fun expired(nowMs: Long): List<GrantKey> {
        val oldest = ended.values.iterator()
        while (oldest.hasNext() && nowMs - oldest.next() > ENDED_KEPT_MS) oldest.remove()
        return byKey.values.filter { nowMs - it.renewedMs >= limits.leaseMs }.map { it.grant.key }
    }

    fun clear() {
        byKey.clear()
        byHolder.clear()
        ended.clear()
    }

    private companion object {
        const val ENDED_KEPT_MS = 10_000L
    }
}

/** A current grant. [pool] is null and [prefixes] is empty when it was taken over from an earlier epoch. */
internal class GrantRecord(
    val grant: Grant,
    val pool: PoolLedger?,
    val prefixes: List<PromptPrefix>,
    val grantedMs: Long,
) {
    var renewedMs = grantedMs
}
