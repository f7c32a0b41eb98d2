package samphirechute.routing.ledger

import samphirechute.core.PoolName
import samphirechute.routing.GrantKey

/**
 * The upstreams that serve one model or application in a failure domain, and the requests that wait for them. Short
 * prompts, long prompts and gangs wait in separate queues.
 */
internal class PoolLedger(
    val name: PoolName,
    prefixes: PrefixIndex,
    private val limits: LedgerLimits,
) {
    val upstreams = ArrayList<UpstreamLedger>()
    val ranking = UpstreamRanking()
    val longShare = LongPromptShare()
    val gangs = GangQueue(limits)
    val selector = UpstreamSelector(this, prefixes, limits)
    val shortQueue = AdmissionQueue(limits)
    val longQueue = AdmissionQueue(limits)

    private var summary: PoolSummary? = null
    private var meanTokens = 0.0
    private var completions = 0L

    val isWaiting: Boolean get() = !shortQueue.requests.isEmpty || !longQueue.requests.isEmpty || !gangs.isEmpty
    val waitingCount: Int get() = shortQueue.requests.size + longQueue.requests.size + gangs.size

    fun serves(upstream: UpstreamLedger) = name in upstream.report.pools

    fun kindOf(
        waiting: WaitingRequest,
        nowMs: Long,
    ): RequestKind {
        val summary = summary(nowMs)
        return when {
            !summary.areEngines -> RequestKind.SHORT
            waiting.memoryTokens > summary.largestMemory -> RequestKind.GANG
            waiting.request.promptTokens >= limits.longPromptTokens -> RequestKind.LONG
            else -> RequestKind.SHORT
        }
    }

    fun summary(nowMs: Long): PoolSummary {
        val known = summary
        if (known != null && !known.isStale(nowMs)) return known
        return PoolSummary(upstreams, nowMs).also { summary = it }
    }

    /** Must be called when an upstream joins or leaves the pool, or becomes usable or unusable. */
    fun invalidateSummary() {
        summary = null
    }

    /** The queue for requests of [kind], or null for gangs, which wait in [gangs]. */
    fun queueOf(kind: RequestKind) =
        when (kind) {
            RequestKind.SHORT -> shortQueue
            RequestKind.LONG -> longQueue
            RequestKind.GANG -> null
        }

    fun choose(
        kind: RequestKind,
        waiting: WaitingRequest,
        nowMs: Long,
    ) = if (kind == RequestKind.LONG) selector.chooseLong(waiting, nowMs) else selector.chooseShort(waiting, nowMs)

    fun isQueued(key: GrantKey) = key in shortQueue.requests || key in longQueue.requests || key in gangs

    fun withdraw(
        key: GrantKey,
        nowMs: Long,
    ): WaitingRequest? = shortQueue.requests.remove(key) ?: longQueue.requests.remove(key) ?: gangs.remove(key, nowMs)

    /** Removes and returns all waiting requests. */
    fun removeAll(): List<WaitingRequest> =
        shortQueue.requests.removeIf { true } + longQueue.requests.removeIf { true } + gangs.removeAll()

    /** The expected length of the answer: half of the requested maximum at first, then the mean of the pool. */
    fun expectedTokens(waiting: WaitingRequest): Double {
        val mean = if (completions < MIN_COMPLETIONS) waiting.request.maxTokens / 2.0 else meanTokens
        return minOf(mean, waiting.request.maxTokens.toDouble())
    }

    fun recordCompletion(generatedTokens: Long) {
        completions++
        val weight = maxOf(MEAN_WEIGHT, 1.0 / completions)
        meanTokens += weight * (generatedTokens - meanTokens)
    }

    private companion object {
        const val MIN_COMPLETIONS = 16
        const val MEAN_WEIGHT = 0.02
    }
}

internal enum class RequestKind { SHORT, LONG, GANG }

/** The waiting requests of one kind, and the rate at which their queue drains. */
internal class AdmissionQueue(
    limits: LedgerLimits,
) {
    val requests = FairQueue(limits.agingMs)
    val drainRate = DrainRate()
}
