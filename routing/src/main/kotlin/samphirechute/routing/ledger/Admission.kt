package samphirechute.routing.ledger

import samphirechute.routing.RefusalReason

/**
 * Decides at once whether a request may wait. It is refused when its first token, or its whole answer, is predicted
 * after its deadline, and when its pool's queue is full; the retry time is when the same request would be admitted.
 */
internal class Admission(
    private val limits: LedgerLimits,
) {
    /** Why a request with this choice at hand is not to be granted; null when it is. */
    fun refusalOf(
        pool: PoolLedger,
        waiting: Waiting,
        choice: Choice,
        nowMs: Long,
    ): Refusal? = late(pool, waiting, choice.firstTokenMs, choice.upstream, nowMs)

    /** Why a request may not wait; null when it may. */
    fun refusalOf(
        pool: PoolLedger,
        kind: RequestKind,
        waiting: Waiting,
        nowMs: Long,
    ): Refusal? {
        val any = pool.upstreams.firstOrNull() ?: return null
        if (kind == RequestKind.GANG) {
            if (waiting.memoryTokens >
                pool.summary(nowMs).usableMemory
            ) {
                return Refusal(RefusalReason.TOO_LARGE, TOO_LARGE_RETRY_MS)
            }
            return late(pool, waiting, pool.choices.leastPrefillMs(waiting, nowMs), any, nowMs)
        }
        val line = pool.line(kind) ?: return null
        if (line.queue.size >= MAX_QUEUED) return Refusal(RefusalReason.QUEUE_FULL, QUEUE_FULL_RETRY_MS)
        val waitMs = line.queue.tokensAhead(waiting) / rate(pool, kind, nowMs)
        val prefillMs = pool.choices.leastPrefillMs(waiting, nowMs)
        // All short prompts face the same bound on the wait. With their own prefill instead, the queue would settle
        // where only the shortest are admitted, and every other prompt would be refused under overload.
        val commonMs = minOf(any.prefillMs(limits.longPromptTokens), remaining(waiting, nowMs) / 2)
        val reservedMs = if (kind == RequestKind.SHORT && any.isEngine) maxOf(prefillMs, commonMs) else prefillMs
        late(pool, waiting, waitMs * WAIT_MARGIN + reservedMs, any, nowMs)?.let { return it }
        val excess = line.queue.tokens + waiting.costTokens - rate(pool, kind, nowMs) * limits.maxQueueMs
        if (excess <= 0 || line.queue.isEmpty) return null
        return Refusal(RefusalReason.QUEUE_FULL, retry(excess / rate(pool, kind, nowMs)))
    }

    /** Waiting requests that cannot be served in time any more, with what went ahead of them. */
    fun removeLate(
        pool: PoolLedger,
        kind: RequestKind,
        nowMs: Long,
    ): List<Waiting> {
        val line = pool.line(kind) ?: return pool.gangs.removeLate(nowMs)
        return line.queue.removeIf { nowMs + pool.choices.leastPrefillMs(it, nowMs) >= it.firstTokenByMs }
    }

    /** The time until a request that was refused now would be admitted. */
    fun retryMs(
        pool: PoolLedger,
        kind: RequestKind,
        waiting: Waiting,
        nowMs: Long,
    ): Long {
        val line = pool.line(kind) ?: return GANG_RETRY_MS
        val waitMs = line.queue.tokensAhead(waiting) / rate(pool, kind, nowMs)
        return retry(waitMs * WAIT_MARGIN + pool.choices.leastPrefillMs(waiting, nowMs) - remaining(waiting, nowMs))
    }

    private fun late(
        pool: PoolLedger,
        waiting: Waiting,
        firstTokenMs: Double,
        upstream: UpstreamLedger,
        nowMs: Long,
    ): Refusal? {
        val firstLateMs = firstTokenMs - remaining(waiting, nowMs)
        val answerMs = firstTokenMs + pool.expectedTokens(waiting) * upstream.predictedTokenMs
        val lateMs = maxOf(firstLateMs, answerMs - (waiting.doneByMs - nowMs))
        return if (lateMs <= 0) null else Refusal(RefusalReason.TOO_LATE, retry(lateMs))
    }

    private fun remaining(
        waiting: Waiting,
        nowMs: Long,
    ) = (waiting.firstTokenByMs - nowMs).toDouble()

    private fun rate(
        pool: PoolLedger,
        kind: RequestKind,
        nowMs: Long,
    ): Double {
        val stated = pool.summary(nowMs).tokensPerMs
        val line = pool.line(kind) ?: return stated
        val engines = pool.upstreams.size.coerceAtLeast(1)
        val part = if (kind == RequestKind.LONG) pool.share.maxEngines(engines).toDouble() / engines else 1.0
        return line.drain.tokensPerMs(stated * part).coerceAtLeast(MIN_TOKENS_PER_MS)
    }

    private fun retry(ms: Double) = ms.toLong().coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)

    private companion object {
        /** The queue drains unevenly; a request admitted on the mean alone would be late half of the time. */
        const val WAIT_MARGIN = 1.25
        const val MIN_TOKENS_PER_MS = 1e-3
        const val MAX_QUEUED = 4_096
        const val QUEUE_FULL_RETRY_MS = 1_000L
        const val MIN_RETRY_MS = 50L
        const val MAX_RETRY_MS = 60_000L
        const val TOO_LARGE_RETRY_MS = 60_000L
        const val GANG_RETRY_MS = 5_000L
    }
}

internal data class Refusal(
    val reason: RefusalReason,
    val retryAfterMs: Long,
)
