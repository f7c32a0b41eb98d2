package samphirechute.routing.ledger

import samphirechute.core.UpstreamId
import samphirechute.routing.PoolDigest

/** The state of one upstream as shown to operators. The waits are the predicted remaining prefill times. */
data class UpstreamView(
    val upstream: UpstreamId,
    val pools: Set<String>,
    val generation: Long,
    val isUsable: Boolean,
    val isDrained: Boolean,
    val isLeaving: Boolean,
    val isCold: Boolean,
    val running: Int,
    val concurrencyLimit: Int,
    val usedMemoryTokens: Long,
    val freeMemoryTokens: Long,
    val shortWaitMs: Long,
    val longWaitMs: Long,
    val reportAgeMs: Long,
)

internal fun viewOf(
    upstream: UpstreamLedger,
    nowMs: Long,
) = UpstreamView(
    upstream = upstream.id,
    pools = upstream.report.pools.mapTo(sortedSetOf()) { it.value },
    generation = upstream.report.generation,
    isUsable = upstream.isUsable(nowMs),
    isDrained = upstream.isDrained,
    isLeaving = upstream.report.isLeaving,
    isCold = upstream.limit.isCold,
    running = upstream.running,
    concurrencyLimit = upstream.limit.concurrency,
    usedMemoryTokens = upstream.usedMemory,
    freeMemoryTokens = upstream.freeMemory,
    shortWaitMs = upstream.shortWaitMs(nowMs).toLong(),
    longWaitMs = upstream.allWaitMs(nowMs).toLong(),
    reportAgeMs = nowMs - upstream.reportedMs,
)

internal fun digestOf(
    pool: PoolLedger,
    nowMs: Long,
): PoolDigest {
    var freeTokens = 0L
    var upstreams = 0
    var firstTokenMs = Double.MAX_VALUE
    for (upstream in pool.upstreams) {
        if (!upstream.isUsable(nowMs)) continue
        upstreams++
        if (upstream.running >= upstream.limit.concurrency) continue
        // Applications have no token memory, so each free request slot counts as one token.
        val room = (upstream.limit.concurrency - upstream.running).toLong()
        freeTokens += if (upstream.isEngine) upstream.freeMemory else room
        val expectedMs = upstream.shortWaitMs(nowMs) + upstream.firstTokenMs(SHORT_PROMPT_TOKENS)
        firstTokenMs = minOf(firstTokenMs, expectedMs * upstream.limit.slowness)
    }
    val queue = pool.shortQueue.requests
    val queuedMs =
        if (queue.isEmpty) {
            0.0
        } else {
            queue.tokens /
                pool.shortQueue.drainRate.tokensPerMs(pool.summary(nowMs).tokensPerMs)
        }
    if (firstTokenMs == Double.MAX_VALUE) firstTokenMs = FULL_MS
    return PoolDigest(freeTokens, (firstTokenMs + queuedMs).coerceAtMost(MAX_MS).toLong(), upstreams)
}

private const val SHORT_PROMPT_TOKENS = 1_000L

/** The first token time of the digest while no upstream of the pool has room, when it cannot be predicted. */
private const val FULL_MS = 1_000.0
private const val MAX_MS = 3.6e6
