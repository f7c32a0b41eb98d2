package samphirechute.routing.placing

import kotlin.math.abs
import kotlin.math.ceil
import kotlin.math.max

/**
 * The engines selected for a prompt and the predicted time to its first event. The first engine is the head, which
 * decodes the answer; the others are helpers, which only prefill a part of the prompt.
 */
internal class EngineSplit(
    val engines: List<UpstreamLoad>,
    val partMs: Double,
    val firstEventMs: Double,
    /** Tokens to reserve on helpers if the head has no memory for the whole prompt. */
    val reservedTokens: Map<UpstreamLoad, Long> = emptyMap(),
    /** The predicted time until each of [engines] has done its part; empty if nothing is known about its speed. */
    val predictedMs: List<Double> = emptyList(),
)

/**
 * Selects the engines for one prompt. [Placer] creates one for each attempt to place a request.
 *
 * A few long prompts make up most of the prefill work, and a prompt that one engine prefills alone delays every event
 * of the requests that decode there by its whole prefill. So short prompts are packed onto few engines, which keeps
 * others free of decoding requests. A long prompt is split over as many engines as it needs to meet its target, and
 * engines whose decoding requests tolerate the delay come first.
 */
internal class EngineSelector(
    private val profile: EngineProfile,
    private val candidates: List<UpstreamLoad>,
    private val request: PlacementRequest,
    private val nowMs: Long,
    private val spreadSeed: Int?,
    /** How long the caller has waited, including the time in the queue. */
    private val waitedMs: Long = 0,
    /** Engines with a limit reserve no memory, since each order to reserve, extend or release it is a request too. */
    private val isLimited: (UpstreamLoad) -> Boolean = { false },
    /** The number of engines that may prefill long prompts at a time. */
    private val maxPrefillEngines: Int = PrefillMix.Fixed.maxPrefillEngines(candidates.size),
    private val splitRisk: SplitRisk = SplitRisk.None,
    /** All engines of the service, also those that may take no request now. */
    private val all: Iterable<UpstreamLoad> = candidates,
) {
    private val prefillMs = profile.prefillMs(request.promptTokens)
    private val helpers = candidates.filter(::canHelp)
    private val neededTokens = request.promptTokens + request.answerTokens
    private val weight = request.weight
    private val preferredParts = ceil(prefillMs / PART_MS).toInt().coerceIn(1, MAX_PARTS)
    private val gapMs = request.targetGapMs ?: Long.MAX_VALUE

    /** Returns the engines for the prompt, or null if it should wait. */
    fun select(): EngineSplit? {
        val heads = candidates.filter(::canBeHead)
        if (heads.isEmpty()) return null
        if (isShort(prefillMs)) return selectForShort(heads.filter(::fitsWhole).ifEmpty { return null })
        return selectForLong(heads)
    }

    /**
     * Selects the fullest engine on which no gap between events becomes too long, for this request or others. If there
     * is none, selects the engine that sends the first event soonest.
     */
    private fun selectForShort(heads: List<UpstreamLoad>): EngineSplit {
        val leftMs = TARGET_SHARE * request.targetMs - waitedMs
        val safe =
            heads.filter { slackMs(it) >= prefillMs * it.speedRatio(nowMs) && firstEventMs(it, prefillMs) <= leftMs }
        val chosen = safe.maxByOrNull(::packingRank) ?: heads.minBy { firstEventMs(it, prefillMs) }
        val firstEventMs = firstEventMs(chosen, prefillMs)
        return EngineSplit(listOf(chosen), prefillMs, firstEventMs, predictedMs = listOf(firstEventMs))
    }

    /**
     * Prefers engines without a long prefill, then the failure domain of the request, then full engines. A stream
     * within one failure domain survives a network partition between domains. The price is partly filled engines, at
     * most one in each failure domain. With [spreadSeed] set, engines with few requests come first instead.
     */
    private fun packingRank(load: UpstreamLoad): Int {
        if (spreadSeed != null) return -load.running * SPREAD_RANK - spreadRank(load)
        val prefillRank = if (load.hasLongPrefill(nowMs)) 0 else NO_LONG_PREFILL_RANK
        val domainRank = if (isSameDomain(load)) SAME_DOMAIN_RANK else 0
        return prefillRank + domainRank + load.strictDecoders
    }

    private fun isSameDomain(load: UpstreamLoad) = load.upstream.failureDomain == request.failureDomain

    private fun spreadRank(load: UpstreamLoad) =
        (
            load.upstream.id.value
                .hashCode() xor (spreadSeed ?: 0)
        ).mod(SPREAD_RANK)

    /**
     * Splits a long prompt over engines that have no prefill left, or returns null if it should wait for more of them.
     *
     * An engine prefills the parts of a later prompt before those that wait there already. A prompt that finds too few
     * free engines therefore waits in the queue of the [Placer] and not at an engine. If its target can no longer be
     * met or its answer has begun, [selectForLate] decides instead.
     */
    private fun selectForLong(heads: List<UpstreamLoad>): EngineSplit? {
        val free = helpers.filter { it.isPrefillDone(profile, nowMs) }
        val trusted = if (preferredParts == 1) free else free.filter { splitRisk.isTrusted(it, nowMs) }
        if (request.hasBegun) return selectForLate(trusted, heads) ?: selectForLateOfAll(free, trusted, heads)
        val leftMs = TARGET_SHARE_LONG * request.targetMs - waitedMs
        val maxParts = if (preferredParts == 1) MAX_PARTS else splitRisk.maxParts(all, nowMs).coerceAtMost(MAX_PARTS)
        val careful = selectCheapest(trusted, heads, leftMs, maxParts)
        if (careful != null && isAcceptable(careful, leftMs)) return careful
        val isSameChoice = trusted.size == free.size && maxParts == MAX_PARTS
        val split = if (isSameChoice) careful else selectCheapest(free, heads, leftMs, MAX_PARTS)
        if (split != null) return split.takeIf { isAcceptable(it, leftMs) }
        val fastestRatio = candidates.minOf { it.speedRatio(nowMs) }
        val cannotMeetTarget = prefillMs * fastestRatio / minOf(MAX_PARTS, maxPrefillEngines) > leftMs
        if (!cannotMeetTarget) return null
        return selectForLate(trusted, heads) ?: selectForLateOfAll(free, trusted, heads)
    }

    /** Returns whether a split that meets the target does little enough harm to other requests. */
    private fun isAcceptable(
        split: EngineSplit,
        leftMs: Double,
    ): Boolean {
        val isUrgent = split.firstEventMs + URGENT_MS >= leftMs
        return harmOf(split) <= (if (isUrgent) URGENT_HARM_SHARE else HARM_SHARE) * weight
    }

    private fun selectForLateOfAll(
        free: List<UpstreamLoad>,
        trusted: List<UpstreamLoad>,
        heads: List<UpstreamLoad>,
    ) = if (trusted.size == free.size) null else selectForLate(free, heads)

    /**
     * Returns the cheapest split that meets the target. Its cost is the harm to other requests and, with less weight,
     * the difference from the preferred number of parts.
     */
    private fun selectCheapest(
        free: List<UpstreamLoad>,
        heads: List<UpstreamLoad>,
        leftMs: Double,
        maxParts: Int,
    ): EngineSplit? {
        val engines = ranked(free)
        val engineOrder = if (preferredParts == 1) singleEngineOrder else harmOrder
        var best: EngineSplit? = null
        var bestCost = Double.MAX_VALUE
        for (parts in 1..minOf(maxParts, free.size, availablePrefillEngines())) {
            val partMs = prefillMs / parts
            val inTime = engines.filter { it.baseMs + partMs * it.speedRatio <= leftMs }
            if (inTime.size < parts) continue
            inTime.forEach { it.harm = harm(it.load, it.pauseMs + partMs * it.speedRatio) }
            val split = split(inTime, engineOrder, heads, parts) ?: continue
            val cost = harmOf(split) + PART_COST * abs(parts - preferredParts)
            if (cost >= bestCost) continue
            best = split
            bestCost = cost
        }
        return best
    }

    private val harmOrder = compareBy<RankedEngine>({ it.harm }, { it.slownessRank }, { it.index })

    /**
     * Packs prompts that one engine can prefill in time like short ones, which leaves whole engines to longer prompts.
     */
    private val singleEngineOrder =
        compareBy<RankedEngine>(
            { it.harm },
            { it.slownessRank },
            { !it.isSameDomain },
            { if (spreadSeed == null) -it.running else 0 },
            { it.index },
        )

    private fun ranked(engines: List<UpstreamLoad>) =
        engines.mapIndexed { index, load ->
            val ratio = load.speedRatio(nowMs)
            RankedEngine(load, index, firstEventMs(load, 0.0), isSameDomain(load), ratio, pauseMs(load))
        }

    /**
     * Selects engines for a prompt that can no longer meet its target. At first only engines on which it harms no other
     * request are accepted. Once its caller has waited for long, those on which it does the least harm are.
     */
    private fun selectForLate(
        free: List<UpstreamLoad>,
        heads: List<UpstreamLoad>,
    ): EngineSplit? {
        val isUrgent = request.hasBegun || waitedMs > LATE_WAIT_SHARE * request.abandonAfterMs
        val harmShare = if (isUrgent) LATE_HARM_SHARE else 0.0
        val engines = ranked(free)
        return (1..minOf(MAX_PARTS, free.size, availablePrefillEngines()))
            .mapNotNull { parts ->
                val partMs = prefillMs / parts
                engines.forEach { it.harm = harm(it.load, it.pauseMs + partMs * it.speedRatio) }
                split(engines, harmOrder, heads, parts)
            }.filter { it.firstEventMs + waitedMs <= LATE_SHARE * request.abandonAfterMs }
            .minByOrNull { harmOf(it) + PART_COST * it.engines.size }
            ?.takeIf { harmOf(it) <= harmShare * weight }
    }

    private fun availablePrefillEngines() = maxPrefillEngines - candidates.count { it.hasLongPrefill(nowMs) }

    /** Returns the next gap between events on an engine without any further prefill. */
    private fun pauseMs(load: UpstreamLoad) = load.passMs(profile, nowMs) + load.prefillWaitMs(nowMs)

    private fun harmOf(split: EngineSplit) =
        split.engines.sumOf {
            harm(
                it,
                pauseMs(it) + split.partMs * it.speedRatio(nowMs),
            )
        }

    /**
     * Returns the weight of the requests on an engine for which a gap between events of [pauseMs] is too long. It
     * counts twice if their streams would be taken for stalled: they are then prefilled again on another engine, or
     * their callers give up.
     */
    private fun harm(
        load: UpstreamLoad,
        pauseMs: Double,
    ): Double {
        val late = load.weightWithGapBelow(pauseMs / GAP_SHARE)
        return if (pauseMs < STALL_MS) late else 2 * late
    }

    /**
     * Returns a split over the first [parts] of [engines] in [engineOrder], or null if none of them can be its head.
     */
    private fun split(
        engines: List<RankedEngine>,
        engineOrder: Comparator<RankedEngine>,
        heads: List<UpstreamLoad>,
        parts: Int,
    ): EngineSplit? {
        if (engines.size < parts) return null
        val ranked = engines.smallest(parts, engineOrder)
        val chosen = ranked.map { it.load }
        val head =
            ranked
                .sortedBy { it.index }
                .map { it.load }
                .filter { canBeHead(it) && fitsWhole(it) }
                .minByOrNull { it.strictDecoders * DECODER_RANK + it.running }
                ?: headBeside(engines, heads)
                ?: return null
        val helpers = chosen.filter { it !== head }.take(parts - 1)
        val reserved = reserve(head, helpers) ?: return null
        val all = listOf(head) + helpers
        val partMs = prefillMs / parts
        val predictedMs = all.map { firstEventMs(it, partMs) }
        return EngineSplit(all, partMs, predictedMs.max(), reserved, predictedMs)
    }

    /** Returns the head for a prompt of which no chosen engine can store the whole. */
    private fun headBeside(
        engines: List<RankedEngine>,
        heads: List<UpstreamLoad>,
    ): UpstreamLoad? {
        val usable = engines.mapTo(HashSet(2 * engines.size)) { it.load }
        val able = heads.filter { it in usable }
        return able.filter(::fitsWhole).minByOrNull { it.prefillWaitMs(nowMs) } ?: able.maxByOrNull(::freeTokens)
    }

    /**
     * Returns the tokens that each helper stores because [head] lacks the memory, or null if the helpers lack it too.
     */
    private fun reserve(
        head: UpstreamLoad,
        helpers: List<UpstreamLoad>,
    ): Map<UpstreamLoad, Long>? {
        var missing = neededTokens - freeTokens(head)
        if (missing <= 0) return emptyMap()
        val reserved = LinkedHashMap<UpstreamLoad, Long>()
        for (helper in helpers.filterNot(isLimited).sortedByDescending(::freeTokens)) {
            if (missing <= 0) break
            val tokens = minOf(missing, (freeTokens(helper) * RESERVED_SHARE).toLong())
            if (tokens <= 0) break
            reserved[helper] = tokens
            missing -= tokens
        }
        return reserved.takeIf { missing <= 0 }
    }

    private fun freeTokens(load: UpstreamLoad) =
        ((profile.memoryTokens - load.memoryTokens) * MEMORY_SHARE).toLong().coerceAtLeast(0)

    private fun fitsWhole(load: UpstreamLoad) = load.memoryTokens + neededTokens <= profile.memoryTokens

    private fun canBeHead(load: UpstreamLoad) = load.running < load.upstream.slots

    private fun canHelp(load: UpstreamLoad) = load.helping < load.upstream.slots

    private fun firstEventMs(
        load: UpstreamLoad,
        partMs: Double,
    ): Double {
        val ownMs = partMs + profile.stepMs
        val passMs = load.passMs(profile, nowMs)
        return load.prefillWaitMs(nowMs) + ownMs * load.speedRatio(nowMs) + passMs * PASSES_TO_FIRST_EVENT
    }

    /** Returns the prefill time that may be added on an engine before a gap between events there becomes too long. */
    private fun slackMs(load: UpstreamLoad): Double {
        val shortest =
            load.shortestGapMs() ?: return if (gapMs == Long.MAX_VALUE) Double.MAX_VALUE else ownSlackMs(load)
        return minOf(ownSlackMs(load), shortest * GAP_SHARE - load.passMs(profile, nowMs) - load.prefillWaitMs(nowMs))
    }

    /**
     * A prefill that ends before the first event of this request delays none of its events, so it has no limit here.
     */
    private fun ownSlackMs(load: UpstreamLoad): Double =
        if (load.prefillWaitMs(nowMs) + load.passMs(profile, nowMs) <=
            max(gapMs.toDouble(), request.targetMs.toDouble())
        ) {
            Double.MAX_VALUE
        } else {
            0.0
        }

    companion object {
        /** Returns whether a prompt with this prefill time is never split and needs no engine kept for it. */
        fun isShort(prefillMs: Double) = prefillMs <= SHORT_PREFILL_MS

        /** The head and 16 helpers, which is the most that the engines accept. */
        private const val MAX_PARTS = 17

        /** Prompts with a shorter prefill are never split. */
        private const val SHORT_PREFILL_MS = 110.0

        /**
         * Share of the target that a prediction may use; the rest covers the network and requests that arrive
         * meanwhile.
         */
        private const val TARGET_SHARE = 0.6

        /**
         * The same for long prompts. They wait in the queue and not at an engine, so that little else can delay them.
         */
        private const val TARGET_SHARE_LONG = 0.85

        /** Preferred prefill time of one part: long compared with a pass, short compared with the targets. */
        private const val PART_MS = 350.0

        /** A prompt that would miss its target within this time is not kept waiting for a better split. */
        private const val URGENT_MS = 400.0

        /** The harm that a prompt may do to other requests, as a share of its own weight. */
        private const val HARM_SHARE = 0.1

        /** The same for a prompt that would otherwise miss its target. */
        private const val URGENT_HARM_SHARE = 0.5

        /** The same for a late prompt: by the users' requirements a late answer is worth a quarter of one in time. */
        private const val LATE_HARM_SHARE = 0.2

        /** A gap between events that is longer may let a stream be given up as stalled. */
        private const val STALL_MS = 1_200.0

        /** Share of the time until the caller gives up within which a late prompt has to begin. */
        private const val LATE_SHARE = 0.8

        /** Share of that time after which a late prompt may harm other requests. */
        private const val LATE_WAIT_SHARE = 0.3

        /** Share of a target gap that predicted work may use. */
        private const val GAP_SHARE = 0.85

        /** A new request waits for the running pass to end and then takes part in the next one. */
        private const val PASSES_TO_FIRST_EVENT = 1.5

        /** Memory is allocated in blocks and reports of its use lag, so a little is left free. */
        private const val MEMORY_SHARE = 0.97

        /** Requests that decode on a helper keep growing, so not all of its free memory is reserved. */
        private const val RESERVED_SHARE = 0.9
        private const val DECODER_RANK = 100
        private const val SPREAD_RANK = 997
        private const val SAME_DOMAIN_RANK = 1_000
        private const val NO_LONG_PREFILL_RANK = 2_000

        /** Cost of each engine more or less than preferred, as a weight; a short request weighs 1.5. */
        private const val PART_COST = 0.1
    }
}
