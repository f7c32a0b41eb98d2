package samphirechute.serving.cluster

import samphirechute.core.UpstreamId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.Clock

/**
 * Decides whether an entry instance may send requests to an upstream, from the records that the instance holds and from
 * what the upstream has said in its answers. The relay checks this before each request, even when a coordinator has
 * chosen the upstream, since the coordinator may know less.
 */
class UpstreamAvailability(
    private val clock: Clock,
    private val table: UpstreamTable,
    private val drains: () -> DrainedDomains,
    private val onLeaving: () -> Unit,
) {
    private val pausedUntilMs = HashMap<UpstreamId, Long>()

    /** Upstreams that said that they are leaving before their record arrived; it is the incarnation in that record. */
    private val leavingWithoutRecord = HashSet<UpstreamId>()

    /** True when the upstream may get requests. Its record may be missing, since announcements can arrive late. */
    fun isAvailable(upstream: UpstreamId): Boolean {
        if (clock.nowMs() < (pausedUntilMs[upstream] ?: Long.MIN_VALUE)) return false
        if (table[upstream] != null && leavingWithoutRecord.remove(upstream)) markLeaving(upstream)
        val record = table[upstream] ?: return upstream !in leavingWithoutRecord
        return record.state == UpstreamState.READY && record.failureDomain !in drains().domains
    }

    /** Records that an answer of the upstream says that it leaves. Returns the incarnation's start time if known. */
    fun markLeaving(upstream: UpstreamId): Long? {
        val record = table[upstream]
        if (record == null) {
            if (leavingWithoutRecord.add(upstream)) log.event("upstream_leaving", mapOf("upstream" to upstream))
            return null
        }
        if (record.state == UpstreamState.READY) {
            log.event("upstream_leaving", mapOf("upstream" to upstream, "born_ms" to record.bornMs))
            table.merge(record.copy(state = UpstreamState.DRAINING), clock.nowMs())
            onLeaving()
        }
        return record.bornMs
    }

    /** Sends the upstream no requests for [forMs], as it has asked this instance with a refusal. */
    fun turnedAway(
        upstream: UpstreamId,
        forMs: Long,
    ) {
        val nowMs = clock.nowMs()
        log.event("upstream_turned_away", mapOf("upstream" to upstream, "for_ms" to forMs))
        pausedUntilMs.values.removeIf { it <= nowMs }
        pausedUntilMs[upstream] = nowMs + forMs
    }

    private companion object {
        val log = KeyValueLog("notices")
    }
}
