package samphirechute.routing.quarantine

import samphirechute.core.PromptPart
import samphirechute.core.UpstreamId

/**
 * The parts of prompts that were on upstreams which ended, and how often.
 *
 * Ends of upstreams count for a part only one after the other: a request counts if it was sent after the end that was
 * counted before. So upstreams that end together, as in a loss of power, count once, however many requests they ran. An
 * answer on the part that was sent after the first end and got beyond its beginning clears the part. Ends that a part in
 * quarantine explains count for no other part, and that part is considered again only after a further end.
 *
 * Callers choose the parts of their prompts, so the table is bounded. If it is full, the parts that were on the fewest ends
 * go first, and of these the oldest.
 */
internal class SuspectTable(
    private val capacity: Int = CAPACITY,
) {
    private val suspects = LinkedHashMap<PromptPart, Suspect>()
    private val explained = ArrayDeque<Crash>()

    /** The last ends of upstreams, with the prompts that were on them. */
    private val recent = ArrayDeque<LostPrompts>()

    operator fun contains(part: PromptPart) = part in suspects

    /** The ends of upstreams that count for [part]. */
    fun crashes(part: PromptPart): List<Crash> = suspects[part]?.counted.orEmpty()

    /** Counts the end of an upstream for the parts that were on it; returns the parts that were not suspected before. */
    fun recordLoss(evidence: RunEvidence): List<PromptPart> {
        val crash = Crash(evidence.upstream, evidence.endedMs)
        if (explained.any(crash::isSame)) return emptyList()
        recordPrompt(crash, evidence.parts)
        val (known, unknown) = evidence.parts.partition { it in suspects }
        known.forEach { count(it, crash, evidence) }
        unknown.forEach { count(it, crash, evidence) }
        evict()
        return unknown.filter { it in suspects }
    }

    /** Clears the parts on which [evidence] shows an answer; returns those that were suspected. */
    fun recordAnswer(evidence: RunEvidence): List<PromptPart> {
        val cleared =
            evidence.parts.filter { part ->
                val first = suspects[part]?.counted?.first()
                first != null && evidence.sentMs > first.endedMs - CLOCK_TOLERANCE_MS
            }
        suspects.keys -= cleared.toSet()
        return cleared
    }

    /**
     * Takes back the ends of [upstream] that were none, since it has answered a request that was sent soon after. Later
     * than that, it may have been started again under the same identifier.
     */
    fun recordAlive(
        upstream: UpstreamId,
        sentMs: Long,
    ) {
        if (suspects.isEmpty()) return
        removeCrashes(suspects.keys.toSet()) {
            it.upstream == upstream && sentMs - it.endedMs in CLOCK_TOLERANCE_MS..ALIVE_WITHIN_MS
        }
    }

    /**
     * Returns the parts to blame for at least [threshold] ends, the last of them until [untilMs], or null. Parts that were
     * together in one prompt and on as many ends cannot be told apart, so they are blamed together. A prompt that has more
     * of them explains an end better than another one that was on the same upstream.
     */
    fun mostSuspected(
        threshold: Int,
        untilMs: Long,
    ): Blame? {
        val (most, suspect) =
            suspects.entries
                .filter { it.value.until(untilMs).size >= maxOf(threshold, it.value.settled + 1) }
                .maxByOrNull { it.value.until(untilMs).size } ?: return null
        val last = suspect.until(untilMs).last()
        val prompts = recent.firstOrNull { it.crash.isSame(last) }?.prompts.orEmpty()
        val parts =
            prompts
                .map { prompt -> prompt.filter { crashes(it).size >= threshold } }
                .maxByOrNull { it.size }
                .orEmpty()
                .take(MAX_BLAMED)
                .toSet()
                .ifEmpty { setOf(most) }
        return Blame(parts, parts.map { crashes(it) }.minBy { it.size }.toList())
    }

    /** Lets the ends in [crashes] count for no other parts than [by], on which they are blamed. */
    fun explain(
        crashes: Collection<Crash>,
        by: Set<PromptPart>,
    ) {
        for (crash in crashes.filter { crash -> explained.none(crash::isSame) }) {
            if (explained.size == MAX_EXPLAINED) explained.removeFirst()
            explained += crash
        }
        by.mapNotNull(suspects::get).forEach { it.settled = it.counted.size }
        removeCrashes(suspects.keys - by) { crash -> crashes.any(crash::isSame) }
    }

    /** Forgets parts that have been on no end for [KEEP_MS]. */
    fun forget(nowMs: Long) {
        suspects.values.removeIf { nowMs - it.counted.last().endedMs > KEEP_MS }
    }

    /** The number of suspected parts that no quarantine includes. */
    val open: Int get() = suspects.values.count { it.settled < it.counted.size }

    private fun count(
        part: PromptPart,
        crash: Crash,
        evidence: RunEvidence,
    ) {
        val suspect = suspects[part]
        if (suspect == null) {
            suspects[part] = Suspect(mutableListOf(crash))
            return
        }
        if (suspect.counted.any(crash::isSame) || !isLater(evidence, suspect.counted.last())) return
        if (suspect.counted.size == MAX_COUNTED) {
            suspect.counted.removeFirst()
            suspect.settled = maxOf(0, suspect.settled - 1)
        }
        suspect.counted += crash
    }

    /** Returns whether the request was sent after [last], and so was not on an upstream that ended together with it. */
    private fun isLater(
        evidence: RunEvidence,
        last: Crash,
    ) = evidence.sentMs >= last.endedMs - CLOCK_TOLERANCE_MS && evidence.endedMs > last.endedMs + CLOCK_TOLERANCE_MS

    private fun evict() {
        val excess = suspects.size - capacity
        if (excess <= 0) return
        suspects.entries
            .sortedWith(
                compareBy({ it.value.counted.size }, {
                    it.value.counted
                        .last()
                        .endedMs
                }),
            ).take(excess)
            .forEach { suspects -= it.key }
    }

    private fun removeCrashes(
        parts: Set<PromptPart>,
        isRemoved: (Crash) -> Boolean,
    ) {
        parts.forEach { suspects[it]?.counted?.removeAll(isRemoved) }
        suspects.values.removeIf { it.counted.isEmpty() }
    }

    private fun recordPrompt(
        crash: Crash,
        prompt: Set<PromptPart>,
    ) {
        val lost = recent.firstOrNull { it.crash.isSame(crash) } ?: LostPrompts(crash).also { recent += it }
        if (lost.partCount + prompt.size > MAX_CRASH_PARTS || !lost.prompts.add(prompt)) return
        lost.partCount += prompt.size
        while (recent.size > 1 && recent.sumOf { it.partCount + 1 } > MAX_RECENT_PARTS) recent.removeFirst()
    }

    /** [counted] is never empty and in the order of time. */
    private class Suspect(
        val counted: MutableList<Crash>,
    ) {
        /** The number of counted ends that have led to a quarantine. */
        var settled = 0

        fun until(timeMs: Long) = counted.filter { it.endedMs <= timeMs }
    }

    private class LostPrompts(
        val crash: Crash,
    ) {
        val prompts = LinkedHashSet<Set<PromptPart>>()
        var partCount = 0
    }

    companion object {
        /** Some 200 KB with identifiers of 16 characters. */
        const val CAPACITY = 2_048
        private const val MAX_COUNTED = 16
        private const val MAX_EXPLAINED = 256
        private const val MAX_CRASH_PARTS = 1_024
        private const val MAX_RECENT_PARTS = 4_096

        /** More parts than these that are always together are not told apart. */
        private const val MAX_BLAMED = 16
        private const val KEEP_MS = 600_000L

        /** Ages are passed between instances, and messages take some milliseconds. */
        private const val CLOCK_TOLERANCE_MS = 20L

        /** Upstreams that have ended are back after some seconds. */
        private const val ALIVE_WITHIN_MS = 1_000L
    }
}

/** The [parts] that are blamed for [crashes]. */
internal class Blame(
    val parts: Set<PromptPart>,
    val crashes: List<Crash>,
)
