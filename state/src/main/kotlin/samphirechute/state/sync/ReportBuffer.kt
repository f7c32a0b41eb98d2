package samphirechute.state.sync

import kotlinx.serialization.json.JsonElement
import samphirechute.core.UpstreamId

/** The latest report of each upstream that announced itself here, kept to be forwarded to a new coordinator. */
internal class ReportBuffer {
    private val entries = LinkedHashMap<UpstreamId, Entry>()

    fun put(
        upstream: UpstreamId,
        report: JsonElement,
        nowMs: Long,
    ) {
        entries[upstream] = Entry(report, nowMs)
        if (entries.size > MAX_UPSTREAMS) fresh(nowMs)
    }

    /** Drops reports older than [REPORT_FRESH_MS], and returns the rest. */
    fun fresh(nowMs: Long): List<JsonElement> {
        entries.values.removeIf { nowMs - it.atMs >= REPORT_FRESH_MS }
        return entries.values.map { it.report }
    }

    private class Entry(
        val report: JsonElement,
        val atMs: Long,
    )

    private companion object {
        /** Above this number of reports, old ones are dropped with each new one. */
        const val MAX_UPSTREAMS = 1_024
    }
}
