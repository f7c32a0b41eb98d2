package samphirechute.routing.ledger

import kotlin.math.max

/** The upstream selected for a request, with the predicted time to its first token. */
internal class Choice(
    val upstream: UpstreamLedger,
    val cachedTokens: Long,
    val prefillTokens: Long,
    val firstTokenMs: Double,
    val isLong: Boolean,
)

/**
 * Chooses the upstream of a pool for a request: the one with the earliest predicted first token. The prediction is the
 * wait for the prefill ahead plus the prefill of the tokens that are not cached, so a cached prefix counts exactly as
 * much as the prefill time it saves.
 */
internal class UpstreamSelector(
    private val pool: PoolLedger,
    private val prefixes: PrefixIndex,
    private val limits: LedgerLimits,
) {
    /**
     * Chooses for a short prompt or a request to an application. Returns null while no upstream has room, or while it
     * is faster to wait for an engine that has the prefix than to prefill it on another one now.
     *
     * The ranking is visited first. Engines that may have the prefix follow, because they can be too far back in it.
     */
    fun chooseShort(
        waiting: WaitingRequest,
        nowMs: Long,
    ): Choice? {
        var best: UpstreamLedger? = null
        var bestCost = Double.MAX_VALUE
        var candidates = 0
        val queuedMs = pool.shortQueue.requests.tokens / pool.summary(nowMs).tokensPerMs

        fun consider(upstream: UpstreamLedger): Boolean {
            if (!hasRoomForShort(upstream, waiting, nowMs)) return false
            val isLater = upstream.shortWaitMs(nowMs) > limits.maxShortBacklogMs
            // Waiting is worthwhile only for an engine with the prefix. It first serves what is queued already.
            if (isLater && cachedOn(upstream, waiting, nowMs).estimated == 0L) return false
            val cost = shortCost(upstream, waiting, nowMs) + if (isLater) queuedMs else 0.0
            if (cost < bestCost) {
                bestCost = cost
                best = upstream
            }
            return true
        }
        pool.ranking.visit { upstream ->
            if (consider(upstream)) candidates++
            candidates < MAX_CANDIDATES && upstream.shortWaitMs(nowMs) < bestCost
        }
        prefixes.visitHolders(waiting.request.prefixes) { if (pool.serves(it)) consider(it) }
        val upstream = best?.takeIf { it.shortWaitMs(nowMs) <= limits.maxShortBacklogMs } ?: return null
        return choice(upstream, waiting, isLong = false, nowMs)
    }

    /**
     * Chooses for a long prompt: an engine that has so much of it cached that the rest is short, or one of the engines
     * that may run long prompts according to [LongPromptShare].
     */
    fun chooseLong(
        waiting: WaitingRequest,
        nowMs: Long,
    ): Choice? {
        val prefilling = pool.upstreams.count { it.isPrefillingLong(nowMs) }
        val isShareUsed = prefilling >= pool.longShare.maxEngines(pool.summary(nowMs).usable)
        var best: UpstreamLedger? = null
        var bestCost = Double.MAX_VALUE
        for (upstream in pool.upstreams) {
            if (!upstream.isUsable(nowMs) || upstream.isHeldForGang || upstream.id in waiting.request.excluded) continue
            val cached = prefixes.lookUp(upstream, waiting.request.prefixes, nowMs)
            val isLong = isLongOn(waiting, cached)
            if (isLong) {
                if (upstream.allWaitMs(nowMs) > limits.maxLongBacklogMs) continue
                if (isShareUsed && !upstream.isPrefillingLong(nowMs)) continue
            } else if (upstream.shortWaitMs(nowMs) > limits.maxShortBacklogMs) {
                continue
            }
            val uncached = waiting.request.promptTokens - cached.certain
            if (!upstream.hasRoomFor(waiting.memoryTokens, uncached, nowMs)) continue
            val wait = if (isLong) upstream.allWaitMs(nowMs) else upstream.shortWaitMs(nowMs)
            val prefill = upstream.prefillMs(waiting.request.promptTokens - cached.estimated)
            val cost = wait + prefill + upstream.running * RUNNING_COST_MS
            if (cost < bestCost) {
                bestCost = cost
                best = upstream
            }
        }
        val upstream = best ?: return null
        return choice(upstream, waiting, isLongOn(waiting, cachedOn(upstream, waiting, nowMs)), nowMs)
    }

    /** The shortest prefill time of a request: on the engine that has most of it cached, with nothing else running. */
    fun minPrefillMs(
        waiting: WaitingRequest,
        nowMs: Long,
    ): Double {
        val any = pool.upstreams.firstOrNull() ?: return 0.0
        if (!any.isEngine) return 0.0
        var cached = 0L
        prefixes.visitHolders(waiting.request.prefixes) {
            if (pool.serves(it)) cached = max(cached, cachedOn(it, waiting, nowMs).certain)
        }
        return any.prefillMs(waiting.request.promptTokens - cached)
    }

    private fun choice(
        upstream: UpstreamLedger,
        waiting: WaitingRequest,
        isLong: Boolean,
        nowMs: Long,
    ): Choice {
        val cached = cachedOn(upstream, waiting, nowMs).certain
        val tokens = if (upstream.isEngine) waiting.request.promptTokens - cached else 0L
        val wait = if (isLong) upstream.allWaitMs(nowMs) else upstream.shortWaitMs(nowMs)
        return Choice(upstream, cached, tokens, wait + upstream.firstTokenMs(tokens), isLong)
    }

    private fun hasRoomForShort(
        upstream: UpstreamLedger,
        waiting: WaitingRequest,
        nowMs: Long,
    ): Boolean {
        if (!upstream.isUsable(nowMs)) return false
        val isReserved = upstream.isEngine && upstream.limit.concurrency - upstream.running <= RESERVED_SLOTS
        if (isReserved && !waiting.isBelowShare && upstream.limit.concurrency > MIN_FOR_RESERVE) return false
        if (upstream.isHeldForGang && pool.gangs.blocksShortWork(nowMs)) return false
        if (waiting.request.excluded.isNotEmpty() && upstream.id in waiting.request.excluded) return false
        val cached = cachedOn(upstream, waiting, nowMs).certain
        return upstream.hasRoomFor(waiting.memoryTokens, waiting.request.promptTokens - cached, nowMs)
    }

    private fun shortCost(
        upstream: UpstreamLedger,
        waiting: WaitingRequest,
        nowMs: Long,
    ): Double {
        if (!upstream.isEngine) return upstream.running.toDouble() / upstream.limit.concurrency
        val uncached = waiting.request.promptTokens - cachedOn(upstream, waiting, nowMs).estimated
        val prefillMs = (upstream.shortWaitMs(nowMs) + upstream.prefillMs(uncached)) * upstream.limit.slowness
        val cost = prefillMs + upstream.running * RUNNING_COST_MS
        if (!upstream.isPrefillingLong(nowMs)) return cost
        // Each decode step also runs a chunk of the long prefill, which about doubles the time between tokens.
        val decodeMs = pool.expectedTokens(waiting) * upstream.report.capacity.decodeStepMs
        return cost + minOf(decodeMs, upstream.allWaitMs(nowMs))
    }

    private fun cachedOn(
        upstream: UpstreamLedger,
        waiting: WaitingRequest,
        nowMs: Long,
    ) = prefixes.lookUp(upstream, waiting.request.prefixes, nowMs)

    private fun isLongOn(
        waiting: WaitingRequest,
        cached: CachedPrefix,
    ) = waiting.request.promptTokens - cached.certain >= limits.longPromptTokens

    private companion object {
        const val MAX_CANDIDATES = 8

        /**
         * Slots kept free for teams below their share. Without them, such a team would have to wait until a request of
         * another team that floods the engine completes.
         */
        const val RESERVED_SLOTS = 3
        const val MIN_FOR_RESERVE = 16

        /** Each running request makes the steps of its engine a little longer. The cost also breaks ties. */
        const val RUNNING_COST_MS = 1.0
    }
}
