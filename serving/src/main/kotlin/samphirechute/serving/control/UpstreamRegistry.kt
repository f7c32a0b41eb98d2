package samphirechute.serving.control

import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.TimerService
import samphirechute.serving.cluster.UpstreamRecord
import samphirechute.serving.cluster.UpstreamState
import samphirechute.serving.cluster.UpstreamTable

/**
 * Registers the upstreams that announce themselves at this control instance, and merges the records of other instances.
 * Only changes are passed on to [onChanged], since the announcements of a whole fleet would otherwise go to every
 * instance.
 */
class UpstreamRegistry(
    private val timer: TimerService,
    private val announceEveryMs: Long,
    /** Returns whether the configuration in force names the service; true for all while there is none. */
    private val isConfigured: (ServiceName) -> Boolean = { true },
    private val onChanged: () -> Unit,
) {
    val table = UpstreamTable()

    /** When each upstream last announced itself here. */
    private val lastAnnouncedMs = HashMap<UpstreamId, Long>()

    fun start() {
        timer.every(announceEveryMs / 2) { markSilentUpstreams() }
        timer.every(FORGET_EVERY_MS) { table.forgetGone(timer.nowMs()) }
    }

    /** Registers an announcement that an upstream sent to this instance. */
    fun register(record: UpstreamRecord) {
        if (!mayHoldAddress(record)) {
            log.event(
                "announcement_ignored",
                mapOf("upstream" to record.id, "service" to record.service, "address" to record.address),
            )
            return
        }
        val known = table[record.id]
        lastAnnouncedMs[record.id] = timer.nowMs()
        val isSame =
            known != null && known.bornMs == record.bornMs &&
                known.copy(sequence = 0, coldRemainingMs = 0) == record.copy(sequence = 0, coldRemainingMs = 0)
        val isSameCold = known != null && (known.coldRemainingMs > 0) == (record.coldRemainingMs > 0)
        if (isSame && isSameCold) return table.refresh(record.id, record.sequence)
        if (merge(record)) onChanged()
    }

    /**
     * Returns false for an announcement of a service that no configuration names, if another upstream holds its address.
     * Such a holder, in turn, gives way to an upstream of a configured service, whichever of them started later.
     */
    private fun mayHoldAddress(record: UpstreamRecord): Boolean {
        val holder = table.holder(record.address)?.takeIf { it.id != record.id } ?: return true
        if (!isConfigured(record.service)) return !isConfigured(holder.service)
        if (!isConfigured(holder.service)) markGone(holder.id)
        return true
    }

    /** Records that an upstream has left. */
    fun markGone(id: UpstreamId) {
        val known = table[id] ?: return
        if (merge(known.copy(state = UpstreamState.GONE))) onChanged()
    }

    /** Records that an answer of the upstream said that it leaves, in the incarnation that started at [bornMs]. */
    fun markDraining(
        id: UpstreamId,
        bornMs: Long,
    ) {
        val known = table[id]?.takeIf { it.bornMs == bornMs && it.state == UpstreamState.READY } ?: return
        if (merge(known.copy(state = UpstreamState.DRAINING))) onChanged()
    }

    /** Merges records of another control instance. An upstream that is silent there may be announcing itself here. */
    fun mergeRecords(records: List<UpstreamRecord>) {
        var isChanged = false
        for (record in records) {
            val known = table[record.id]
            val isAnnouncedHere = timer.nowMs() - (lastAnnouncedMs[record.id] ?: Long.MIN_VALUE / 2) < silentMs
            if (record.isSilent && isAnnouncedHere && known != null && known.bornMs == record.bornMs) {
                val next = known.copy(sequence = maxOf(known.sequence, record.sequence) + 1, isSilent = false)
                isChanged = merge(next) || isChanged
            } else {
                isChanged = merge(record) || isChanged
            }
        }
        if (isChanged) onChanged()
    }

    private val silentMs = announceEveryMs * MISSED_ANNOUNCEMENTS

    /** Marks the upstreams from which several announcements in a row have not come. */
    private fun markSilentUpstreams() {
        val nowMs = timer.nowMs()
        val silent = lastAnnouncedMs.filterValues { nowMs - it > silentMs }.keys.toList()
        var isChanged = false
        for (id in silent) {
            lastAnnouncedMs -= id
            val known = table[id] ?: continue
            if (known.state == UpstreamState.GONE || known.isSilent) continue
            isChanged = merge(known.copy(isSilent = true)) || isChanged
        }
        if (isChanged) onChanged()
    }

    private fun merge(record: UpstreamRecord): Boolean {
        val isNew = table.merge(record, timer.nowMs())
        if (isNew) {
            log.event(
                "upstream_changed",
                mapOf(
                    "upstream" to record.id,
                    "service" to record.service,
                    "address" to record.address,
                    "state" to record.state.name.lowercase(),
                    "silent" to record.isSilent,
                    "born_ms" to record.bornMs,
                    "sequence" to record.sequence,
                    "cold_ms" to record.coldRemainingMs,
                ),
            )
        }
        return isNew
    }

    private companion object {
        /** More than one, since announcements may come seconds late. */
        const val MISSED_ANNOUNCEMENTS = 4
        const val FORGET_EVERY_MS = 10_000L
        val log = KeyValueLog("registrar")
    }
}
