package samphirechute.serving.control

import samphirechute.core.UpstreamId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.TimerService
import samphirechute.serving.cluster.UpstreamRecord
import samphirechute.serving.cluster.UpstreamState
import samphirechute.serving.cluster.UpstreamTable

/** Takes the announcements of upstreams. Only changes are passed on, so that the fleet's announcements stay here. */
class Registrar(
    private val timer: TimerService,
    private val announceEveryMs: Long,
    private val onChanged: () -> Unit,
) {
    val table = UpstreamTable()
    private val heardMs = HashMap<UpstreamId, Long>()

    fun start() {
        timer.every(announceEveryMs / 2) { noticeSilence() }
        timer.every(FORGET_EVERY_MS) { table.forgetGone(timer.nowMs()) }
    }

    /** An announcement that came here. */
    fun announced(record: UpstreamRecord) {
        val known = table[record.id]
        heardMs[record.id] = timer.nowMs()
        val isSame =
            known != null && known.bornMs == record.bornMs &&
                known.copy(sequence = 0, coldRemainingMs = 0) == record.copy(sequence = 0, coldRemainingMs = 0)
        val isSameCold = known != null && (known.coldRemainingMs > 0) == (record.coldRemainingMs > 0)
        if (isSame && isSameCold) return table.refresh(record.id, record.sequence)
        if (merge(record)) onChanged()
    }

    fun left(id: UpstreamId) {
        val known = table[id] ?: return
        if (merge(known.copy(state = UpstreamState.GONE))) onChanged()
    }

    /** An answer of the upstream said that it leaves, in the life that began at [bornMs]. */
    fun leaving(
        id: UpstreamId,
        bornMs: Long,
    ) {
        val known = table[id]?.takeIf { it.bornMs == bornMs && it.state == UpstreamState.READY } ?: return
        if (merge(known.copy(state = UpstreamState.DRAINING))) onChanged()
    }

    /** Records of another control instance. One that is silent there may have announced itself here since. */
    fun learned(records: List<UpstreamRecord>) {
        var isChanged = false
        for (record in records) {
            val known = table[record.id]
            val isHeardHere = timer.nowMs() - (heardMs[record.id] ?: Long.MIN_VALUE / 2) < silentMs
            if (record.isSilent && isHeardHere && known != null && known.bornMs == record.bornMs) {
                val next = known.copy(sequence = maxOf(known.sequence, record.sequence) + 1, isSilent = false)
                isChanged = merge(next) || isChanged
            } else {
                isChanged = merge(record) || isChanged
            }
        }
        if (isChanged) onChanged()
    }

    private val silentMs = announceEveryMs * SILENT_ANNOUNCEMENTS

    private fun noticeSilence() {
        val nowMs = timer.nowMs()
        val silent = heardMs.filterValues { nowMs - it > silentMs }.keys.toList()
        var isChanged = false
        for (id in silent) {
            heardMs -= id
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
        /** Announcements may come seconds late. */
        const val SILENT_ANNOUNCEMENTS = 4
        const val FORGET_EVERY_MS = 10_000L
        val log = KeyValueLog("registrar")
    }
}
