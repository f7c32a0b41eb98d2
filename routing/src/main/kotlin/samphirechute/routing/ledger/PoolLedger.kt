package samphirechute.routing.ledger

import samphirechute.core.PoolName
import samphirechute.routing.GrantKey

/** The upstreams of one model or application in a failure domain, and the requests that wait for them. */
internal class PoolLedger(
    val name: PoolName,
    prefixes: PrefixIndex,
    private val limits: LedgerLimits,
) {
    val upstreams = ArrayList<UpstreamLedger>()
    val rank = UpstreamRank()
    val share = LongShare()
    val gangs = GangQueue(limits)
    val choices = UpstreamChoice(this, prefixes, limits)
    val short = WaitingLine(limits)
    val long = WaitingLine(limits)

    private var summary: PoolSummary? = null
    private var meanTokens = 0.0
    private var completions = 0L

    val isWaiting: Boolean get() = !short.queue.isEmpty || !long.queue.isEmpty || !gangs.isEmpty
    val waitingCount: Int get() = short.queue.size + long.queue.size + gangs.size

    fun serves(upstream: UpstreamLedger) = name in upstream.report.pools

    fun kindOf(
        waiting: Waiting,
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
        if (known != null && !known.isOld(nowMs)) return known
        return PoolSummary(upstreams, nowMs).also { summary = it }
    }

    /** To be called when the set of upstreams changed, or whether one of them is usable. */
    fun changed() {
        summary = null
    }

    /** The line that a request of this kind waits in; null for gangs. */
    fun line(kind: RequestKind) =
        when (kind) {
            RequestKind.SHORT -> short
            RequestKind.LONG -> long
            RequestKind.GANG -> null
        }

    fun choose(
        kind: RequestKind,
        waiting: Waiting,
        nowMs: Long,
    ) = if (kind == RequestKind.LONG) choices.chooseLong(waiting, nowMs) else choices.chooseShort(waiting, nowMs)

    fun isQueued(key: GrantKey) = key in short.queue || key in long.queue || key in gangs

    fun withdraw(
        key: GrantKey,
        nowMs: Long,
    ): Waiting? = short.queue.remove(key) ?: long.queue.remove(key) ?: gangs.remove(key, nowMs)

    /** Empties all queues. */
    fun removeAll(): List<Waiting> = short.queue.removeIf { true } + long.queue.removeIf { true } + gangs.removeAll()

    /** The length of answer to expect: at first a part of what is asked for, then the mean of the pool. */
    fun expectedTokens(waiting: Waiting): Double {
        val mean = if (completions < MIN_COMPLETIONS) waiting.request.maxTokens / 2.0 else meanTokens
        return minOf(mean, waiting.request.maxTokens.toDouble())
    }

    fun completed(generatedTokens: Long) {
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

/** A queue with the rate at which it drains. */
internal class WaitingLine(
    limits: LedgerLimits,
) {
    val queue = FairQueue(limits.agingMs)
    val drain = DrainRate()
}
