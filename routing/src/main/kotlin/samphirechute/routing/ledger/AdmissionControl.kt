package samphirechute.routing.ledger

import samphirechute.routing.RefusalReason

/**
 * Decides on arrival whether a request may wait in the queue of its pool, and later which waiting requests have become
 * too late. Used by [GrantAllocator].
 *
 * A request is refused when its first token or its whole answer is predicted after its deadline, or when the queue is
 * full. The retry hint of a refusal is the predicted time until the same request would be admitted.
 */
internal class AdmissionControl(
    private val limits: LedgerLimits,
) {
    /** Why a request that [choice] could serve now is refused, or null when it can be granted. */
    fun refusalOf(
        pool: PoolLedger,
        waiting: WaitingRequest,
        choice: Choice,
        nowMs: Long,
    ): Refusal? = refusalIfLate(pool, waiting, choice.firstTokenMs, choice.upstream, nowMs)

    /**
     * Why a request may not wait, or null when it may.
     *
     * Lateness is checked before the bound on queued tokens. When the queue is full, [GrantAllocator] may refuse a
     * request of another team instead and queue this one, which would be wrong for a request that is late anyway.
     */
    fun refusalOf(
        pool: PoolLedger,
        kind: RequestKind,
        waiting: WaitingRequest,
        nowMs: Long,
    ): Refusal? {
        val any = pool.upstreams.firstOrNull() ?: return null
        if (kind == RequestKind.GANG) {
            if (waiting.memoryTokens >
                pool.summary(nowMs).usableMemory
            ) {
                return Refusal(RefusalReason.TOO_LARGE, TOO_LARGE_RETRY_MS)
            }
            return refusalIfLate(pool, waiting, pool.selector.minPrefillMs(waiting, nowMs), any, nowMs)
        }
        val queue = pool.queueOf(kind) ?: return null
        if (queue.requests.size >= MAX_QUEUED) return Refusal(RefusalReason.QUEUE_FULL, QUEUE_FULL_RETRY_MS)
        val waitMs = queue.requests.tokensAhead(waiting) / tokensPerMs(pool, kind, nowMs)
        val prefillMs = pool.selector.minPrefillMs(waiting, nowMs)
        // The wait of all short prompts has the same bound. If each had a bound by its own prefill, the queue would
        // under overload grow to a length at which only the shortest prompts are admitted and all others refused.
        val commonMs = minOf(any.prefillMs(limits.longPromptTokens), firstTokenRemainingMs(waiting, nowMs) / 2)
        val reservedMs = if (kind == RequestKind.SHORT && any.isEngine) maxOf(prefillMs, commonMs) else prefillMs
        refusalIfLate(pool, waiting, waitMs * WAIT_MARGIN + reservedMs, any, nowMs)?.let { return it }
        val excess = queue.requests.tokens + waiting.costTokens - tokensPerMs(pool, kind, nowMs) * limits.maxQueueMs
        if (excess <= 0 || queue.requests.isEmpty) return null
        return Refusal(RefusalReason.QUEUE_FULL, boundedRetryMs(excess / tokensPerMs(pool, kind, nowMs)))
    }

    /** Removes and returns the waiting requests that can no longer be served in time. */
    fun removeLate(
        pool: PoolLedger,
        kind: RequestKind,
        nowMs: Long,
    ): List<WaitingRequest> {
        val queue = pool.queueOf(kind) ?: return pool.gangs.removeLate(nowMs)
        return queue.requests.removeIf { nowMs + pool.selector.minPrefillMs(it, nowMs) >= it.firstTokenDeadlineMs }
    }

    /** The predicted time until [waiting], which is refused now, would be admitted. */
    fun retryMs(
        pool: PoolLedger,
        kind: RequestKind,
        waiting: WaitingRequest,
        nowMs: Long,
    ): Long {
        val queue = pool.queueOf(kind) ?: return GANG_RETRY_MS
        val waitMs = queue.requests.tokensAhead(waiting) / tokensPerMs(pool, kind, nowMs)
        return boundedRetryMs(
            waitMs * WAIT_MARGIN + pool.selector.minPrefillMs(waiting, nowMs) - firstTokenRemainingMs(waiting, nowMs),
        )
    }

    private fun refusalIfLate(
        pool: PoolLedger,
        waiting: WaitingRequest,
        firstTokenMs: Double,
        upstream: UpstreamLedger,
        nowMs: Long,
    ): Refusal? {
        val firstLateMs = firstTokenMs - firstTokenRemainingMs(waiting, nowMs)
        val answerMs = firstTokenMs + pool.expectedTokens(waiting) * upstream.predictedTokenMs
        val lateMs = maxOf(firstLateMs, answerMs - (waiting.deadlineMs - nowMs))
        return if (lateMs <= 0) null else Refusal(RefusalReason.TOO_LATE, boundedRetryMs(lateMs))
    }

    private fun firstTokenRemainingMs(
        waiting: WaitingRequest,
        nowMs: Long,
    ) = (waiting.firstTokenDeadlineMs - nowMs).toDouble()

    private fun tokensPerMs(
        pool: PoolLedger,
        kind: RequestKind,
        nowMs: Long,
    ): Double {
        val announced = pool.summary(nowMs).tokensPerMs
        val queue = pool.queueOf(kind) ?: return announced
        val engines = pool.upstreams.size.coerceAtLeast(1)
        val part = if (kind == RequestKind.LONG) pool.longShare.maxEngines(engines).toDouble() / engines else 1.0
        return queue.drainRate.tokensPerMs(announced * part).coerceAtLeast(MIN_TOKENS_PER_MS)
    }

    private fun boundedRetryMs(ms: Double) = ms.toLong().coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)

    private companion object {
        /** The queue drains unevenly. A request admitted by the mean wait alone would be late half of the time. */
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
