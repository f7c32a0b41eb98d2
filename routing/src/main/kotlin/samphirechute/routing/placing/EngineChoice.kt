package samphirechute.routing.placing

import kotlin.math.abs
import kotlin.math.ceil
import kotlin.math.max

/** The engines that a prompt is read on, the one that answers first, and the predicted time to its first event. */
internal class EngineSplit(
    val engines: List<UpstreamLoad>,
    val partMs: Double,
    val firstEventMs: Double,
    /** Memory to reserve for the prompt on engines other than the first, which does not hold all of it. */
    val reservedTokens: Map<UpstreamLoad, Long> = emptyMap(),
)

/**
 * Chooses engines for one prompt. The load that it answers is a mix in which a few long prompts hold most of the reading:
 * a prompt that one engine reads alone delays every event of the requests that write there by the whole of its reading.
 * So short prompts are packed onto few engines, which leaves others free of writers, and a long prompt is split over as
 * many engines as it needs to be in time, first over those whose writers do not notice it.
 */
internal class EngineChoice(
    private val profile: EngineProfile,
    private val candidates: List<UpstreamLoad>,
    private val request: PlacementRequest,
    private val nowMs: Long,
    private val spreadSeed: Int?,
    /** How long the caller has waited so far. */
    private val waitedMs: Long = 0,
) {
    private val readMs = profile.readMs(request.promptTokens)
    private val helpers = candidates.filter(::canHelp)
    private val neededTokens = request.promptTokens + request.answerTokens
    private val weight = request.weight

    /** Some engines are kept free of long reading for the short prompts that come meanwhile. */
    private val maxReaders = (candidates.size - candidates.size / KEPT_ONE_IN).coerceAtLeast(1)
    private val gapMs = request.targetGapMs ?: Long.MAX_VALUE

    fun choose(): EngineSplit? {
        val heads = candidates.filter(::canAnswer)
        if (heads.isEmpty()) return null
        if (readMs <= SHORT_READ_MS) return chooseShort(heads.filter(::holdsAll).ifEmpty { return null })
        return chooseLong(heads)
    }

    /** The fullest engine on which neither this request nor those beside it have to pause for too long. */
    private fun chooseShort(heads: List<UpstreamLoad>): EngineSplit {
        val leftMs = TARGET_SHARE * request.targetMs - waitedMs
        val safe = heads.filter { slackMs(it) >= readMs && firstEventMs(it, readMs) <= leftMs }
        val chosen = safe.maxByOrNull(::packingRank) ?: heads.minBy { firstEventMs(it, readMs) }
        return EngineSplit(listOf(chosen), readMs, firstEventMs(chosen, readMs))
    }

    /**
     * Engines that read nothing long first, then the own failure domain: a stream within it outlives a cut between failure
     * domains. That costs engines that are half full, at most one for each failure domain.
     */
    private fun packingRank(load: UpstreamLoad): Int {
        if (spreadSeed != null) return -load.running * SPREAD_RANK - spreadRank(load)
        val apart = if (load.isReadingLong(nowMs)) 0 else APART_RANK
        val near = if (isNear(load)) NEAR_RANK else 0
        return apart + near + load.strictWriters
    }

    private fun isNear(load: UpstreamLoad) = load.upstream.failureDomain == request.failureDomain

    private fun spreadRank(load: UpstreamLoad) =
        (
            load.upstream.id.value
                .hashCode() xor (spreadSeed ?: 0)
        ).mod(SPREAD_RANK)

    /**
     * Splits a prompt over engines that read nothing else. Engines read the parts of a later prompt before what waits there,
     * so a prompt that finds too few free engines waits here rather than in their queues; null says so.
     */
    private fun chooseLong(heads: List<UpstreamLoad>): EngineSplit? {
        val free = helpers.filter { it.hasReadAll(profile, nowMs) }
        if (request.hasBegun) return chooseLate(free, heads)
        val leftMs = TARGET_SHARE_LONG * request.targetMs - waitedMs
        val split = cheapest(free, heads, leftMs)
        if (split != null) {
            val isPressed = split.firstEventMs + PRESSING_MS >= leftMs
            val harmShare = if (isPressed) PRESSED_HARM_SHARE else HARM_SHARE
            return split.takeIf { harmOf(it) <= harmShare * weight }
        }
        val isLost = readMs / minOf(MAX_PARTS, maxReaders) > leftMs
        return if (isLost) chooseLate(free, heads) else null
    }

    /** Of the splits that are in time, the one that costs the requests beside it least. */
    private fun cheapest(
        free: List<UpstreamLoad>,
        heads: List<UpstreamLoad>,
        leftMs: Double,
    ): EngineSplit? {
        val wanted = ceil(readMs / PART_MS).toInt().coerceIn(1, MAX_PARTS)
        val engines = ranked(free)
        val order = if (wanted == 1) inOrderForOne else inOrder
        var best: EngineSplit? = null
        var bestCost = Double.MAX_VALUE
        for (parts in 1..minOf(MAX_PARTS, free.size, openReaders())) {
            val partMs = readMs / parts
            val inTime = engines.filter { it.baseMs + partMs <= leftMs }
            if (inTime.size < parts) continue
            inTime.forEach { it.harm = harm(it.load, partMs) }
            val split = split(inTime, order, heads, parts) ?: continue
            val cost = harmOf(split) + PART_COST * abs(parts - wanted)
            if (cost >= bestCost) continue
            best = split
            bestCost = cost
        }
        return best
    }

    private val inOrder = compareBy<RankedEngine>({ it.harm }, { it.strictWriters }, { it.index })

    /** Prompts that one engine reads in time are packed like short ones, which leaves whole engines to longer ones. */
    private val inOrderForOne =
        compareBy<RankedEngine>(
            { it.harm },
            { it.strictWriters },
            { !it.isNear },
            { if (spreadSeed == null) -it.running else 0 },
            { it.index },
        )

    private fun ranked(engines: List<UpstreamLoad>) =
        engines.mapIndexed { index, load -> RankedEngine(load, index, firstEventMs(load, 0.0), isNear(load)) }

    /**
     * For a prompt that cannot be in time any more: the engines on which it harms others least, once it may wait no longer
     * for some on which it harms nobody.
     */
    private fun chooseLate(
        free: List<UpstreamLoad>,
        heads: List<UpstreamLoad>,
    ): EngineSplit? {
        val isPressed = request.hasBegun || waitedMs > LATE_WAIT_SHARE * request.leaveMs
        val harmShare = if (isPressed) LATE_HARM_SHARE else 0.0
        val engines = ranked(free)
        return (1..minOf(MAX_PARTS, free.size, openReaders()))
            .mapNotNull { parts ->
                val partMs = readMs / parts
                engines.forEach { it.harm = harm(it.load, partMs) }
                split(engines, inOrder, heads, parts)
            }.filter { it.firstEventMs + waitedMs <= LATE_SHARE * request.leaveMs }
            .minByOrNull { harmOf(it) + PART_COST * it.engines.size }
            ?.takeIf { harmOf(it) <= harmShare * weight }
    }

    private fun openReaders() = maxReaders - candidates.count { it.isReadingLong(nowMs) }

    private fun harmOf(split: EngineSplit) = split.engines.sumOf { harm(it, split.partMs) }

    /**
     * The weight of the requests on an engine whose next pause becomes too long when a part is read there. It counts twice
     * when they are taken for stalled: they are then read again elsewhere, or their callers leave.
     */
    private fun harm(
        load: UpstreamLoad,
        partMs: Double,
    ): Double {
        val pauseMs = load.passMs(profile) + load.readWaitMs(nowMs) + partMs
        val late = load.weightOfPausesBelow(pauseMs / GAP_SHARE)
        return if (pauseMs < STALL_MS) late else 2 * late
    }

    /** The first [parts] of [engines] in [order], one of which must be able to answer. */
    private fun split(
        engines: List<RankedEngine>,
        order: Comparator<RankedEngine>,
        heads: List<UpstreamLoad>,
        parts: Int,
    ): EngineSplit? {
        if (engines.size < parts) return null
        val chosen = engines.smallest(parts, order).map { it.load }
        val usable = engines.mapTo(HashSet(2 * engines.size)) { it.load }
        val able = heads.filter { it in usable }
        val head =
            able.filter { it in chosen && holdsAll(it) }.minByOrNull { it.strictWriters * WRITER_RANK + it.running }
                ?: able.filter(::holdsAll).minByOrNull { it.readWaitMs(nowMs) }
                ?: able.maxByOrNull(::freeTokens)
                ?: return null
        val helpers = chosen.filter { it !== head }.take(parts - 1)
        val reserved = reserve(head, helpers) ?: return null
        val all = listOf(head) + helpers
        val partMs = readMs / parts
        return EngineSplit(all, partMs, all.maxOf { firstEventMs(it, partMs) }, reserved)
    }

    /** What the helpers have to hold because [head] has no room for it; null when they have not enough room either. */
    private fun reserve(
        head: UpstreamLoad,
        helpers: List<UpstreamLoad>,
    ): Map<UpstreamLoad, Long>? {
        var missing = neededTokens - freeTokens(head)
        if (missing <= 0) return emptyMap()
        val reserved = LinkedHashMap<UpstreamLoad, Long>()
        for (helper in helpers.sortedByDescending(::freeTokens)) {
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

    private fun holdsAll(load: UpstreamLoad) = load.memoryTokens + neededTokens <= profile.memoryTokens

    private fun canAnswer(load: UpstreamLoad) = load.running < load.upstream.slots

    private fun canHelp(load: UpstreamLoad) = load.helping < load.upstream.slots

    private fun firstEventMs(
        load: UpstreamLoad,
        partMs: Double,
    ) = load.readWaitMs(nowMs) + partMs + load.passMs(profile) * PASSES_TO_FIRST + profile.stepMs

    /** The reading that may be added on an engine before a pause between events there becomes too long. */
    private fun slackMs(load: UpstreamLoad): Double {
        val shortest =
            load.shortestGapMs() ?: return if (gapMs == Long.MAX_VALUE) Double.MAX_VALUE else ownSlackMs(load)
        return minOf(ownSlackMs(load), shortest * GAP_SHARE - load.passMs(profile) - load.readWaitMs(nowMs))
    }

    /** What is read before the first event of this request delays none of its own. */
    private fun ownSlackMs(load: UpstreamLoad): Double =
        if (load.readWaitMs(nowMs) + load.passMs(profile) <= max(gapMs.toDouble(), request.targetMs.toDouble())) {
            Double.MAX_VALUE
        } else {
            0.0
        }

    private companion object {
        /** The engine and 16 helpers, which is the most that the engines accept. */
        const val MAX_PARTS = 17

        /** Prompts that read faster than this are never split. */
        const val SHORT_READ_MS = 110.0

        /** The part of the target that a prediction may take; the rest covers the way and what comes meanwhile. */
        const val TARGET_SHARE = 0.6

        /** As above for prompts that wait here and not at an engine, so that little else comes between. */
        const val TARGET_SHARE_LONG = 0.85

        /** The reading that one part should take: long against a pass, short against the targets. */
        const val PART_MS = 350.0

        /** A prompt is not kept waiting for a better split when it would be late this soon. */
        const val PRESSING_MS = 400.0

        /** Others may lose this share of what the prompt is worth before it has to be pressed. */
        const val HARM_SHARE = 0.1
        const val PRESSED_HARM_SHARE = 0.5

        /** An answer that begins late is worth a quarter of one in time on the users' sheets. */
        const val LATE_HARM_SHARE = 0.2

        /** Streams that are silent for longer are given up. */
        const val STALL_MS = 1_200.0

        /** The parts of a caller's patience by which a late prompt has to begin, and after which it may harm others. */
        const val LATE_SHARE = 0.8
        const val LATE_WAIT_SHARE = 0.3

        const val KEPT_ONE_IN = 5

        /** The part of an allowed pause that predicted work may take. */
        const val GAP_SHARE = 0.85

        /** A request that arrives waits for the end of the running pass and shares the next one. */
        const val PASSES_TO_FIRST = 1.5

        /** Memory is given out in blocks, and reports of it lag, so a little is left free. */
        const val MEMORY_SHARE = 0.97

        /** Requests that write at a helper go on growing. */
        const val RESERVED_SHARE = 0.9
        const val WRITER_RANK = 100
        const val SPREAD_RANK = 997
        const val NEAR_RANK = 1_000
        const val APART_RANK = 2_000

        /** The weight of one engine more or less than wanted; a short request weighs 1.5. */
        const val PART_COST = 0.1
    }
}
