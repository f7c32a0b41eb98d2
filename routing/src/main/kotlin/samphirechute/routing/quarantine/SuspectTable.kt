package samphirechute.routing.quarantine

import samphirechute.core.RequestTrait
import samphirechute.core.UpstreamId
import kotlin.math.abs

/**
 * The traits of requests that were on upstreams which ended, and how often.
 *
 * Each end gives points to the traits that were on the upstream, more if it had begun to answer the request than if that was
 * still waiting. Ends give points only one after the other: a request counts if it was sent after the end that was
 * counted before. So upstreams that end together, as in a loss of power, count once, however many requests they ran. An
 * answer on the trait that was sent after the first end and got beyond its beginning clears the trait. Ends that a trait in
 * quarantine explains count for no other trait, and that trait is considered again only after a further end.
 *
 * A whole request that is sent again is suspected in the same way. Blaming it leaves all others alone, so it is blamed before
 * the parts that it shares with them, and fewer ends are enough. Ends that one such request was on say nothing of its parts.
 * Its ends before the head of an answer are [RepeatedEnds].
 *
 * Callers choose the traits of their requests, so the table is bounded. If it is full, the traits that were on the fewest ends
 * go first, and of these the oldest.
 */
internal class SuspectTable(
    private val capacity: Int = CAPACITY,
) {
    private val suspects = LinkedHashMap<RequestTrait, Suspect>()
    private val explained = ArrayDeque<Crash>()

    /** The last ends of upstreams, with the prompts that were on them. */
    private val recent = ArrayDeque<LostPrompts>()

    private val repeated = RepeatedEnds(capacity)

    operator fun contains(trait: RequestTrait) = trait in suspects || repeated.isInQuestion(trait)

    /** The ends of upstreams that count for [trait]. */
    fun crashes(trait: RequestTrait): List<Crash> = suspects[trait]?.counted?.map { it.crash }.orEmpty()

    /** Counts the end of an upstream for the traits that were on it; returns the traits that were not suspected before. */
    fun recordLoss(evidence: RunEvidence): List<RequestTrait> {
        val crash = Crash(evidence.upstream, evidence.endedMs)
        if (explained.any(crash::isSame)) return emptyList()
        recordPrompt(crash, evidence.traits)
        evidence.traits.filter { it.isWholeRequest }.forEach { repeated.record(it, crash) }
        val (known, unknown) = evidence.traits.filter { isCounted(it, evidence) }.partition { it in suspects }
        known.forEach { count(it, crash, evidence) }
        unknown.forEach { count(it, crash, evidence) }
        evict()
        return unknown.filter { it in suspects }
    }

    /** Takes in the end of an upstream that [by] explains, so that it counts for no other traits. */
    fun recordExplained(
        evidence: RunEvidence,
        by: Set<RequestTrait>,
    ) {
        val crash = Crash(evidence.upstream, evidence.endedMs)
        recordPrompt(crash, evidence.traits)
        explain(listOf(crash), by)
    }

    /** Clears the traits on which [evidence] shows an answer; returns those that were suspected. */
    fun recordAnswer(evidence: RunEvidence): List<RequestTrait> {
        val cleared =
            evidence.traits.filter { trait ->
                val first = suspects[trait]?.counted?.first()
                first != null && evidence.sentMs > first.crash.endedMs - CLOCK_TOLERANCE_MS
            }
        suspects.keys -= cleared.toSet()
        val answered = evidence.traits.filter { it.isWholeRequest && repeated.clear(it, evidence.sentMs) }
        return (cleared + answered).distinct()
    }

    /**
     * Takes back the ends of [upstream] that were none, since it has answered a request that was sent soon after. Later
     * than that, it may have been started again under the same identifier.
     */
    fun recordAlive(
        upstream: UpstreamId,
        sentMs: Long,
    ) {
        val isTakenBack = { crash: Crash ->
            crash.upstream == upstream && sentMs - crash.endedMs in CLOCK_TOLERANCE_MS..ALIVE_WITHIN_MS
        }
        removeCrashes(suspects.keys.toSet(), isTakenBack)
        repeated.removeEnds(isRemoved = isTakenBack)
    }

    /**
     * Returns the whole request, or else the parts, that explain the most ends until [untilMs], or null. If traits of
     * different requests explain as much, or if what is known already does by [isExplained], only what has happened until
     * [ambiguousUntilMs] counts.
     */
    fun mostSuspected(
        untilMs: Long,
        ambiguousUntilMs: Long,
        isExplained: (RequestTrait, List<Crash>) -> Boolean,
    ): Blame? {
        val wholes =
            suspects.filter { (trait, suspect) ->
                trait.isWholeRequest && suspect.isOpen(WHOLE_POINTS, untilMs)
            }
        for ((whole, suspect) in wholes.entries.sortedByDescending { it.value.weight(untilMs) }) {
            blameWhole(whole, suspect, ambiguousUntilMs, isExplained)?.let { return it }
        }
        repeated.mostRepeated(untilMs)?.let { (whole, ends) -> return Blame(setOf(whole), ends, requestOf(whole)) }
        val open =
            suspects.filter { (trait, suspect) ->
                !trait.isWholeRequest && suspect.isOpen(POINTS, untilMs) && !isOneRequest(trait, suspect)
            }
        val (trait, suspect) = open.maxByOrNull { it.value.weight(untilMs) } ?: return null
        return blameParts(trait, suspect, untilMs, ambiguousUntilMs)
    }

    /** Returns whether a whole request among [traits] has ended so many upstreams that a decision on it is due soon. */
    fun isDecisionDue(
        traits: Set<RequestTrait>,
        sinceMs: Long,
    ): Boolean {
        val whole = traits.firstOrNull { it.isWholeRequest } ?: return false
        if (repeated.isDecisionDue(whole, sinceMs)) return true
        val suspect = suspects[whole] ?: return false
        return suspect.isOpen(WHOLE_POINTS, Long.MAX_VALUE) && suspect.lastEndedMs >= sinceMs
    }

    /**
     * A whole request that alone was on all of its ends is blamed at once, one beside a part of others after more ends. One
     * beside another whole request is not before it has been sent again and again: the next end tells most of them apart.
     */
    private fun blameWhole(
        whole: RequestTrait,
        suspect: Suspect,
        ambiguousUntilMs: Long,
        isExplained: (RequestTrait, List<Crash>) -> Boolean,
    ): Blame? {
        val request = requestOf(whole)
        val rivals = suspects.filter { (trait, other) -> trait !in request && other.wasOnAll(suspect) }.keys
        val tiedPoints = if (rivals.any { it.isWholeRequest }) TIED_POINTS else POINTS
        val isAlone =
            rivals.isEmpty() && !isExplained(whole, crashes(whole)) &&
                !repeated.isBetterExplained(crashes(whole), request)
        val isBlamed = isAlone || suspect.isOpen(tiedPoints, ambiguousUntilMs)
        return if (isBlamed) Blame(setOf(whole), crashes(whole), request) else null
    }

    /** Parts of one prompt that explain as much cannot be told apart, whatever their points, so they are blamed together. */
    private fun blameParts(
        trait: RequestTrait,
        suspect: Suspect,
        untilMs: Long,
        ambiguousUntilMs: Long,
    ): Blame? {
        val most = suspect.weight(untilMs)
        val tied =
            suspects
                .filter { (other, it) ->
                    !other.isWholeRequest && it.settled < it.counted.size && it.weight(untilMs) >= most
                }.keys
        val last = suspect.until(untilMs).last().crash
        val prompts = recent.firstOrNull { it.crash.isSame(last) }?.prompts.orEmpty()
        val traits =
            prompts
                .map { prompt -> prompt.filter { it in tied } }
                .maxByOrNull { it.size }
                .orEmpty()
                .take(MAX_BLAMED)
                .toSet()
                .ifEmpty { setOf(trait) }
        if (!traits.containsAll(tied) && !suspect.isOpen(POINTS, ambiguousUntilMs)) return null
        return Blame(traits, crashes(traits.first()), traits)
    }

    /**
     * Returns whether one request with [part] that was sent again was on all ends of the part, begun or still waiting, which
     * says nothing of the part.
     */
    private fun isOneRequest(
        part: RequestTrait,
        suspect: Suspect,
    ) = (suspects.keys + repeated.requests).any { whole ->
        whole.isWholeRequest && part in requestOf(whole) && suspect.counted.all { wasOn(it.crash, setOf(whole)) }
    }

    /** The traits of the request that only repeats of it have in common with it. */
    fun requestOf(whole: RequestTrait): Set<RequestTrait> =
        recent.asReversed().firstNotNullOfOrNull { lost -> lost.prompts.firstOrNull { whole in it } } ?: setOf(whole)

    /** Returns whether a request with all of [traits] is known to have been on the upstream that ended. */
    fun wasOn(
        crash: Crash,
        traits: Set<RequestTrait>,
    ) = recent.any { lost -> lost.crash.isSame(crash) && lost.prompts.any { it.containsAll(traits) } }

    /**
     * Lets the ends in [crashes] count for no other traits than [by], of which they are blamed on [blamed]. They go on
     * counting for whole requests if only parts are blamed, since these may turn out to be sound.
     */
    fun explain(
        crashes: Collection<Crash>,
        by: Set<RequestTrait>,
        blamed: Set<RequestTrait> = by,
    ) {
        for (crash in crashes.filter { crash -> explained.none(crash::isSame) }) {
            if (explained.size == MAX_EXPLAINED) explained.removeFirst()
            explained += crash
        }
        blamed.mapNotNull(suspects::get).forEach { it.settled = it.counted.size }
        val kept = if (blamed.any { it.isWholeRequest }) by else by + suspects.keys.filter { it.isWholeRequest }
        removeCrashes(suspects.keys - kept) { crash -> crashes.any(crash::isSame) }
        if (blamed.none { it.isWholeRequest }) return
        repeated.remove(blamed)
        repeated.removeEnds(kept = by) { crash -> crashes.any(crash::isSame) }
    }

    /** Forgets traits that have been on no end for [KEEP_MS]. */
    fun forget(nowMs: Long) {
        repeated.forget(nowMs - KEEP_MS)
        suspects.values.removeIf {
            nowMs -
                it.counted
                    .last()
                    .crash.endedMs > KEEP_MS
        }
    }

    /** The number of suspected traits that no quarantine includes. */
    val open: Int get() = suspects.values.count { it.settled < it.counted.size }

    /**
     * The end of an upstream that has not begun to answer a whole request counts only among its [RepeatedEnds]. A part may
     * also be on other requests that the upstream ran.
     */
    private fun isCounted(
        trait: RequestTrait,
        evidence: RunEvidence,
    ) = !trait.isWholeRequest || evidence.outcome == RunOutcome.LOST_BEGUN

    private fun count(
        trait: RequestTrait,
        crash: Crash,
        evidence: RunEvidence,
    ) {
        val weight = if (evidence.outcome == RunOutcome.LOST_BEGUN) BEGUN_WEIGHT else WAITING_WEIGHT
        val suspect = suspects.getOrPut(trait) { Suspect() }
        val known = suspect.counted.firstOrNull { it.crash.isSame(crash) }
        if (known == null) {
            val isLater = if (trait.isWholeRequest) suspect.isApart(crash) else isLater(evidence, suspect.lastCounted())
            suspect.add(CountedCrash(crash, weight, isLater))
        } else {
            known.weight = maxOf(known.weight, weight)
        }
    }

    /**
     * Returns whether the end counts beside the ones before. Requests that share a part are many, so theirs have to be sent
     * one after the other. A whole request that several upstreams run at a time ends them at different times, unless they
     * end together for another reason.
     */
    private fun isLater(
        evidence: RunEvidence,
        last: Crash?,
    ): Boolean {
        if (last == null) return true
        return evidence.sentMs >= last.endedMs - CLOCK_TOLERANCE_MS &&
            evidence.endedMs > last.endedMs + CLOCK_TOLERANCE_MS
    }

    private fun evict() {
        val excess = suspects.size - capacity
        if (excess <= 0) return
        suspects.entries
            .sortedWith(
                compareBy({ it.value.counted.size }, {
                    it.value.counted
                        .last()
                        .crash.endedMs
                }),
            ).take(excess)
            .forEach { suspects -= it.key }
    }

    private fun removeCrashes(
        traits: Set<RequestTrait>,
        isRemoved: (Crash) -> Boolean,
    ) {
        traits.forEach { trait -> suspects[trait]?.counted?.removeAll { isRemoved(it.crash) } }
        suspects.values.removeIf { it.counted.isEmpty() }
    }

    private fun recordPrompt(
        crash: Crash,
        prompt: Set<RequestTrait>,
    ) {
        val lost = recent.firstOrNull { it.crash.isSame(crash) } ?: LostPrompts(crash).also { recent += it }
        if (lost.traitCount + prompt.size > MAX_CRASH_TRAITS || !lost.prompts.add(prompt)) return
        lost.traitCount += prompt.size
        while (recent.size > 1 && recent.sumOf { it.traitCount + 1 } > MAX_RECENT_TRAITS) recent.removeFirst()
    }

    /** The ends of upstreams that the trait was on, in the order of time; there is at least one. */
    private class Suspect {
        val counted = ArrayList<CountedCrash>()

        /** The number of counted ends that have led to a quarantine. */
        var settled = 0

        fun add(crash: CountedCrash) {
            if (counted.size == MAX_COUNTED) {
                counted.removeFirst()
                settled = maxOf(0, settled - 1)
            }
            counted += crash
        }

        /** The last end for which there were points. */
        fun lastCounted(): Crash? = counted.lastOrNull { it.givesPoints }?.crash

        val lastEndedMs: Long get() = counted.last().crash.endedMs

        /** Returns whether no counted end was at the same moment as [crash]. */
        fun isApart(crash: Crash) = counted.none { abs(it.crash.endedMs - crash.endedMs) <= CLOCK_TOLERANCE_MS }

        /** Returns whether it has been on every end that [other] was on. */
        fun wasOnAll(other: Suspect) =
            other.counted.all { end -> counted.any { known -> known.crash.isSame(end.crash) } }

        fun until(timeMs: Long) = counted.filter { it.crash.endedMs <= timeMs }

        fun weight(untilMs: Long) = until(untilMs).sumOf { it.weight }

        fun points(untilMs: Long) = until(untilMs).filter { it.givesPoints }.sumOf { it.weight }

        fun isOpen(
            threshold: Int,
            untilMs: Long,
        ) = points(untilMs) >= threshold && until(untilMs).size > settled
    }

    private class CountedCrash(
        val crash: Crash,
        /** More if the upstream had begun to answer a request with the trait. */
        var weight: Int,
        /** False if the upstream ended together with another one. */
        val givesPoints: Boolean,
    )

    private class LostPrompts(
        val crash: Crash,
    ) {
        val prompts = LinkedHashSet<Set<RequestTrait>>()
        var traitCount = 0
    }

    companion object {
        /** Some 200 KB with identifiers of 16 characters. */
        const val CAPACITY = 2_048
        private const val BEGUN_WEIGHT = 2
        private const val WAITING_WEIGHT = 1

        /** Upstreams that have to end one after the other when they have begun to answer requests with the same part. */
        const val CRASHES = 3
        private const val POINTS = CRASHES * BEGUN_WEIGHT

        /** Upstreams that have to end under the same whole request if nothing else explains it. */
        const val WHOLE_CRASHES = 2
        private const val WHOLE_POINTS = WHOLE_CRASHES * BEGUN_WEIGHT

        /** The same if another whole request was on all of them. One caller's request has fewer attempts, also with its repeat. */
        private const val TIED_CRASHES = 5
        private const val TIED_POINTS = TIED_CRASHES * BEGUN_WEIGHT
        private const val MAX_COUNTED = 32
        private const val MAX_EXPLAINED = 256
        private const val MAX_CRASH_TRAITS = 1_024
        private const val MAX_RECENT_TRAITS = 4_096

        /** More traits than these that are always together are not told apart. */
        private const val MAX_BLAMED = 16
        private const val KEEP_MS = 600_000L

        /** Ages are passed between instances, and messages take some milliseconds. */
        const val CLOCK_TOLERANCE_MS = 20L

        /** Upstreams that have ended are back after some seconds. */
        private const val ALIVE_WITHIN_MS = 1_000L
    }
}

/** The [traits] that are blamed for [crashes], and all traits of the [request] that are known to be on them. */
internal class Blame(
    val traits: Set<RequestTrait>,
    val crashes: List<Crash>,
    val request: Set<RequestTrait>,
)
