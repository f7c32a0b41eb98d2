package samphirechute.routing.ledger

import samphirechute.core.UpstreamId
import samphirechute.core.service.Urgency
import samphirechute.routing.Grant
import samphirechute.routing.GrantEnding
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantPart
import samphirechute.routing.GrantResult
import kotlin.math.ceil
import kotlin.math.roundToLong

/** Enters grants into the ledgers of their upstreams, and takes them out with what their results teach. */
internal class GrantLeases(
    private val grants: GrantTable,
    private val upstreams: Map<UpstreamId, UpstreamLedger>,
    private val prefixes: PrefixIndex,
    private val place: (UpstreamLedger, Long) -> Unit,
) {
    fun grant(
        pool: PoolLedger,
        waiting: Waiting,
        choice: Choice,
        epoch: Long,
        nowMs: Long,
    ): Grant {
        val upstream = choice.upstream
        val memory = if (upstream.isEngine) waiting.memoryTokens else 0L
        val part = part(upstream, memory, choice.prefillTokens)
        val grant =
            grantOf(waiting.key, epoch, listOf(part), upstream, choice.cachedTokens, choice.firstTokenMs)
                .copy(priority = priorityOf(waiting, choice.isLong))
        enter(GrantRecord(grant, pool, waiting.request.prefixes, nowMs), choice.isLong, nowMs)
        return grant
    }

    fun grantGang(
        pool: PoolLedger,
        gang: GangChoice,
        epoch: Long,
        nowMs: Long,
    ): Grant {
        var missing = gang.waiting.memoryTokens
        val parts =
            gang.engines.mapIndexed { index, engine ->
                val memory = minOf(missing, engine.freeMemory)
                missing -= memory
                part(engine, memory, if (index == 0) gang.waiting.request.promptTokens else 0L)
            }
        val primary = gang.engines.first()
        val firstTokenMs = primary.allWaitMs(nowMs) + primary.firstTokenMs(gang.waiting.request.promptTokens)
        val used = parts.filter { it.memoryTokens > 0 }
        val grant =
            grantOf(gang.waiting.key, epoch, used, primary, 0, firstTokenMs)
                .copy(priority = priorityOf(gang.waiting, isLong = true))
        enter(GrantRecord(grant, pool, gang.waiting.request.prefixes, nowMs), isLong = true, nowMs)
        return grant
    }

    /** Takes over a grant of another epoch that its holder still has. */
    fun takeOver(
        grant: Grant,
        nowMs: Long,
    ) {
        val record = GrantRecord(grant, null, emptyList(), nowMs)
        grants.add(record)
        attach(record, nowMs)
    }

    /**
     * Enters the parts of a renewed grant whose upstreams were not known before: to a new coordinator the grant may be
     * listed before the upstream reports. What it still prefills is in the engine's own report.
     */
    fun attach(
        record: GrantRecord,
        nowMs: Long,
    ) {
        for (part in record.grant.parts) {
            val upstream = upstreams[part.upstream] ?: continue
            if (upstream.report.generation != part.generation || upstream.holds(record.grant.key)) continue
            val isLong = part.prefillTokens >= LONG_PREFILL_TOKENS
            upstream.lease(record.grant.key, part, isLong, nowMs, isPrefilled = true)
            upstream.observeLoad()
            place(upstream, nowMs)
        }
    }

    fun release(
        record: GrantRecord,
        result: GrantResult,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        val primary = upstreams[record.grant.primary.upstream]
        if (primary != null && primary.holds(record.grant.key)) learn(primary, record, result, out, nowMs)
        val isReclaimed = result.ending == GrantEnding.FAILED || result.ending == GrantEnding.SILENT
        val isCancelled = result.ending == GrantEnding.CANCELLED
        end(record, isReclaimed, out, nowMs, isCancelled)
    }

    /**
     * Ends a grant on all its upstreams. With [isReclaimed] they are told to cancel its work, and its memory is free
     * when they report so; with [isCancelled] the holder told them already.
     */
    fun end(
        record: GrantRecord,
        isReclaimed: Boolean,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
        isCancelled: Boolean = false,
    ) {
        grants.remove(record.grant.key, nowMs)
        for (part in record.grant.parts) {
            val upstream = upstreams[part.upstream] ?: continue
            upstream.end(record.grant.key, isReclaimed || isCancelled, nowMs) ?: continue
            if (isReclaimed) out += LedgerOutput.Reclaim(upstream.id, record.grant.key.requestId)
            place(upstream, nowMs)
        }
    }

    private fun enter(
        record: GrantRecord,
        isLong: Boolean,
        nowMs: Long,
    ) {
        grants.add(record)
        record.grant.parts.forEachIndexed { index, part ->
            val upstream = upstreams.getValue(part.upstream)
            upstream.lease(record.grant.key, part, isLong, nowMs)
            if (index == 0) prefixes.expect(upstream, record.prefixes, nowMs)
            place(upstream, nowMs)
        }
    }

    private fun learn(
        upstream: UpstreamLedger,
        record: GrantRecord,
        result: GrantResult,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        val isCooled =
            when (result.ending) {
                GrantEnding.COMPLETED -> {
                    learnCompleted(upstream, record, result, nowMs)
                }

                GrantEnding.REFUSED, GrantEnding.FAILED, GrantEnding.SILENT -> {
                    upstream.isSuspect = true
                    upstream.limit.reset()
                    true
                }

                GrantEnding.CANCELLED, GrantEnding.UNUSED -> {
                    false
                }
            }
        if (!isCooled) return
        val fields = mapOf("upstream" to upstream.id.value, "cause" to result.ending.name.lowercase())
        out += LedgerOutput.RecordEvent("upstream_cold", fields)
    }

    private fun learnCompleted(
        upstream: UpstreamLedger,
        record: GrantRecord,
        result: GrantResult,
        nowMs: Long,
    ): Boolean {
        record.pool?.completed(result.generatedTokens)
        prefixes.observed(upstream, record.prefixes, result.cachedTokens, nowMs)
        result.tokenMs?.let { upstream.learnTokenMs(it) }
        val firstTokenMs = result.firstTokenMs ?: return false
        if (record.pool == null) return false
        if (upstream.isEngine) {
            val expectedMs = record.grant.expectedFirstTokenMs + SLACK_MS
            return upstream.limit.completed((firstTokenMs + SLACK_MS) / expectedMs, upstream.running)
        }
        val ratio = (firstTokenMs + APPLICATION_SLACK_MS) / (upstream.typicalMs + APPLICATION_SLACK_MS)
        val isCooled = upstream.typicalMs > 0 && upstream.limit.completed(ratio, upstream.running)
        upstream.learnTypicalMs(firstTokenMs.toDouble())
        return isCooled
    }

    private fun part(
        upstream: UpstreamLedger,
        memoryTokens: Long,
        prefillTokens: Long,
    ) = GrantPart(upstream.id, upstream.report.generation, upstream.report.address, memoryTokens, prefillTokens)

    private fun priorityOf(
        waiting: Waiting,
        isLong: Boolean,
    ) = waiting.request.urgency.ordinal + if (isLong) Urgency.entries.size else 0

    private fun grantOf(
        key: GrantKey,
        epoch: Long,
        parts: List<GrantPart>,
        primary: UpstreamLedger,
        cachedTokens: Long,
        firstTokenMs: Double,
    ) = Grant(key, epoch, parts, cachedTokens, ceil(firstTokenMs).roundToLong(), primary.expectedTokenMs)

    private companion object {
        const val LONG_PREFILL_TOKENS = 32_768L

        /** Differences below a few engine steps or network round trips are no sign of a slow upstream. */
        const val SLACK_MS = 30.0
        const val APPLICATION_SLACK_MS = 10.0
    }
}
