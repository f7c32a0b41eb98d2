package samphirechute.serving.cluster

import samphirechute.core.UpstreamId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.Clock

/**
 * Whether an instance may send to an upstream, by the records that it holds and by what upstreams have told it in their
 * answers. It is asked before each request, also when a coordinator that knows less has named the upstream.
 */
class UpstreamAvailability(
    private val clock: Clock,
    private val table: UpstreamTable,
    private val drains: () -> DrainedDomains,
    private val onLeaving: () -> Unit,
) {
    private val turnedAwayUntilMs = HashMap<UpstreamId, Long>()

    /** Upstreams that said that they leave before their records came; the life that each record names is the one that leaves. */
    private val leavingUnknown = HashSet<UpstreamId>()

    /** An upstream without a record may have announced itself so lately that word of it is still under way. */
    fun isAvailable(upstream: UpstreamId): Boolean {
        if (clock.nowMs() < (turnedAwayUntilMs[upstream] ?: Long.MIN_VALUE)) return false
        if (table[upstream] != null && leavingUnknown.remove(upstream)) markLeaving(upstream)
        val record = table[upstream] ?: return upstream !in leavingUnknown
        return record.state == UpstreamState.READY && record.failureDomain !in drains().domains
    }

    /** An answer of the upstream says that it leaves; gives the start of the life that said so. */
    fun markLeaving(upstream: UpstreamId): Long? {
        val record = table[upstream]
        if (record == null) {
            if (leavingUnknown.add(upstream)) log.event("upstream_leaving", mapOf("upstream" to upstream))
            return null
        }
        if (record.state == UpstreamState.READY) {
            log.event("upstream_leaving", mapOf("upstream" to upstream, "born_ms" to record.bornMs))
            table.merge(record.copy(state = UpstreamState.DRAINING), clock.nowMs())
            onLeaving()
        }
        return record.bornMs
    }

    /** The upstream wants no requests of this instance for [forMs]. */
    fun turnedAway(
        upstream: UpstreamId,
        forMs: Long,
    ) {
        val nowMs = clock.nowMs()
        log.event("upstream_turned_away", mapOf("upstream" to upstream, "for_ms" to forMs))
        turnedAwayUntilMs.values.removeIf { it <= nowMs }
        turnedAwayUntilMs[upstream] = nowMs + forMs
    }

    private companion object {
        val log = KeyValueLog("notices")
    }
}
