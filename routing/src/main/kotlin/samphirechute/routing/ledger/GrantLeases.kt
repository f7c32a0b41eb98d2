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

/**
 * Creates grants, accounts for them in the ledgers of their upstreams as long as they last, and learns latencies and
 * failures of the upstreams from their results. Used by [GrantAllocator] and [DomainLedger].
 */
internal class GrantLeases(
    private val grants: GrantTable,
    private val upstreams: Map<UpstreamId, UpstreamLedger>,
    private val prefixes: PrefixIndex,
    private val updateRank: (UpstreamLedger, Long) -> Unit,
) {
    /** Creates a grant for [waiting] on the chosen upstream. */
    fun grant(
        pool: PoolLedger,
        waiting: WaitingRequest,
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
        leaseParts(GrantRecord(grant, pool, waiting.request.prefixes, nowMs), choice.isLong, nowMs)
        return grant
    }

    /** Creates a grant over all engines of [gang]. Only the first engine prefills; the others provide memory. */
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
        leaseParts(GrantRecord(grant, pool, gang.waiting.request.prefixes, nowMs), isLong = true, nowMs)
        return grant
    }

    /** Takes over a grant of another epoch that its holder still uses. */
    fun takeOver(
        grant: Grant,
        nowMs: Long,
    ) {
        val record = GrantRecord(grant, null, emptyList(), nowMs)
        grants.add(record)
        attach(record, nowMs)
    }

    /**
     * Accounts for the parts of a renewed grant whose upstreams were unknown before. A holder may list its grants to a
     * new coordinator before the upstream reports. Remaining prefill is not added, since the engine's report has it.
     */
    fun attach(
        record: GrantRecord,
        nowMs: Long,
    ) {
        for (part in record.grant.parts) {
            val upstream = upstreams[part.upstream] ?: continue
            if (upstream.report.generation != part.generation || upstream.hasLease(record.grant.key)) continue
            val isLong = part.prefillTokens >= LONG_PREFILL_TOKENS
            upstream.lease(record.grant.key, part, isLong, nowMs, isPrefilled = true)
            upstream.raiseLimitToLoad()
            updateRank(upstream, nowMs)
        }
    }

    /** Ends a grant that its holder released, and learns from its result. */
    fun release(
        record: GrantRecord,
        result: GrantResult,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        val primary = upstreams[record.grant.primary.upstream]
        if (primary != null && primary.hasLease(record.grant.key)) applyResult(primary, record, result, out, nowMs)
        val isReclaimed = result.ending == GrantEnding.FAILED || result.ending == GrantEnding.SILENT
        val isCancelled = result.ending == GrantEnding.CANCELLED
        end(record, isReclaimed, out, nowMs, isCancelled)
    }

    /**
     * Ends a grant on all its upstreams. With [isReclaimed] the upstreams are asked to cancel its work. With
     * [isCancelled] the holder did that already. In both cases its memory counts as used until they report it free.
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
            updateRank(upstream, nowMs)
        }
    }

    private fun leaseParts(
        record: GrantRecord,
        isLong: Boolean,
        nowMs: Long,
    ) {
        grants.add(record)
        record.grant.parts.forEachIndexed { index, part ->
            val upstream = upstreams.getValue(part.upstream)
            upstream.lease(record.grant.key, part, isLong, nowMs)
            if (index == 0) prefixes.addExpected(upstream, record.prefixes, nowMs)
            updateRank(upstream, nowMs)
        }
    }

    private fun applyResult(
        upstream: UpstreamLedger,
        record: GrantRecord,
        result: GrantResult,
        out: MutableList<LedgerOutput>,
        nowMs: Long,
    ) {
        val becameCold =
            when (result.ending) {
                GrantEnding.COMPLETED -> {
                    applyCompletion(upstream, record, result, nowMs)
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
        if (!becameCold) return
        val fields = mapOf("upstream" to upstream.id.value, "cause" to result.ending.name.lowercase())
        out += LedgerOutput.RecordEvent("upstream_cold", fields)
    }

    private fun applyCompletion(
        upstream: UpstreamLedger,
        record: GrantRecord,
        result: GrantResult,
        nowMs: Long,
    ): Boolean {
        record.pool?.recordCompletion(result.generatedTokens)
        prefixes.recordCacheUse(upstream, record.prefixes, result.cachedTokens, nowMs)
        result.tokenMs?.let { upstream.learnTokenMs(it) }
        val firstTokenMs = result.firstTokenMs ?: return false
        if (record.pool == null) return false
        if (upstream.isEngine) {
            val expectedMs = record.grant.expectedFirstTokenMs + SLACK_MS
            return upstream.limit.recordCompletion((firstTokenMs + SLACK_MS) / expectedMs, upstream.running)
        }
        val ratio = (firstTokenMs + APPLICATION_SLACK_MS) / (upstream.firstByteMs + APPLICATION_SLACK_MS)
        val becameCold = upstream.firstByteMs > 0 && upstream.limit.recordCompletion(ratio, upstream.running)
        upstream.learnFirstByteMs(firstTokenMs.toDouble())
        return becameCold
    }

    private fun part(
        upstream: UpstreamLedger,
        memoryTokens: Long,
        prefillTokens: Long,
    ) = GrantPart(upstream.id, upstream.report.generation, upstream.report.address, memoryTokens, prefillTokens)

    private fun priorityOf(
        waiting: WaitingRequest,
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

        /** Delays of a few engine steps or network round trips do not mean that an upstream is slow. */
        const val SLACK_MS = 30.0
        const val APPLICATION_SLACK_MS = 10.0
    }
}
