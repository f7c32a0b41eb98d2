package samphirechute.routing.quarantine

import samphirechute.core.InstanceId
import samphirechute.core.RequestTrait
import samphirechute.core.UpstreamId

/**
 * Decides which requests are not sent to upstreams, because each upstream that begins to answer them ends.
 *
 * Each instance has one. Instances that send requests report how those ended, and the instance that places requests for
 * all of them decides ([record]); the others take its decisions over ([merge]). A part of prompts, or
 * several that cannot be told apart, is put in quarantine once three upstreams have ended under it one after the other and no
 * answer on it got beyond its beginning; a whole request, which harms no other one, after two. Any such answer later lifts the
 * quarantine. Since requests in quarantine are not sent, few are let through to see whether it is right ([isProbeDue]), and
 * only by the instance that places for all.
 *
 * It has no clock: callers pass the current time.
 */
class RequestQuarantine(
    private val self: InstanceId,
) {
    private val suspects = SuspectTable()
    private val table = QuarantineTable()

    /** Receives each change of a quarantine. */
    var onChange: (QuarantineChange) -> Unit = {}

    /** Grows with each change of a quarantine. */
    val version: Long get() = table.version

    val active: List<Quarantine> get() = table.active

    /** The number of traits that are suspected and not in quarantine. */
    val suspected: Int get() = suspects.open

    /** Takes in how an attempt ended; returns the traits that are newly suspected or cleared by it. */
    fun record(
        evidence: RunEvidence,
        nowMs: Long,
    ): Suspicion {
        if (evidence.traits.isEmpty()) return Suspicion.NONE
        return when (evidence.outcome) {
            RunOutcome.LOST_WAITING, RunOutcome.LOST_BEGUN -> recordLoss(evidence)
            RunOutcome.SOUND -> recordAnswer(evidence, nowMs)
        }
    }

    /** Takes in that [upstream] has answered a request that was sent at [sentMs], whichever its prompt. */
    fun recordAlive(
        upstream: UpstreamId,
        sentMs: Long,
    ) = suspects.recordAlive(upstream, sentMs)

    /**
     * Puts traits in quarantine for which the evidence is sufficient and at least [DECISION_DELAY_MS] old, so that all
     * instances have reported on the last crash, and answers on sound traits have had time to begin. Call it so long after
     * each [record].
     */
    fun decide(nowMs: Long) {
        while (true) {
            val blame =
                suspects.mostSuspected(nowMs - DECISION_DELAY_MS, nowMs - AMBIGUOUS_DELAY_MS, ::isExplained) ?: return
            putInQuarantine(blame, nowMs)
        }
    }

    private fun putInQuarantine(
        blame: Blame,
        nowMs: Long,
    ) {
        suspects.explain(blame.crashes, by = blame.request, blamed = blame.traits)
        val round = (table[blame.traits]?.round ?: 0) + 1
        val quarantine = Quarantine(blame.traits, QuarantineState.ACTIVE, round, blame.crashes, self, nowMs)
        put(quarantine, QuarantineReason.CRASHES, nowMs)
        table.active
            .filter { isNarrowedBy(it, quarantine) }
            .forEach { lift(it, QuarantineReason.NARROWED, nowMs) }
        if (blame.traits.none { it.isWholeRequest }) liftExplained(nowMs)
    }

    /**
     * Lifts the quarantines of whole requests which were only on ends that parts of others explain, once these are known.
     * It does so once for each, since parts may be blamed wrongly.
     */
    private fun liftExplained(nowMs: Long) {
        table.active
            .filter { known -> known.round == 1 && known.whole?.let { isExplained(it, known.crashes) } == true }
            .forEach { lift(it, QuarantineReason.EXPLAINED, nowMs) }
    }

    /** Returns whether parts of others that are in quarantine were on all [crashes] of the [whole] request. */
    private fun isExplained(
        whole: RequestTrait,
        crashes: List<Crash>,
    ): Boolean {
        val request = suspects.requestOf(whole)
        val parts =
            table.active.map { it.traits }.filter { blamed ->
                blamed.none { it.isWholeRequest || it in request }
            }
        return crashes.isNotEmpty() && crashes.all { crash -> parts.any { suspects.wasOn(crash, it) } }
    }

    /** Takes over what other instances have decided. */
    fun merge(
        quarantines: List<Quarantine>,
        nowMs: Long,
    ) = quarantines
        .filter { other -> table[other.traits].let { it == null || other.isNewerThan(it) } }
        .forEach { put(it, QuarantineReason.LEARNED, nowMs) }

    /** Returns the quarantine that a prompt with [traits] is in, or null. */
    fun find(
        traits: Set<RequestTrait>,
        nowMs: Long,
    ): Quarantine? = table.find(traits, nowMs)

    /**
     * Returns whether a request with [traits] has to wait, since its repeats have ended upstreams a moment ago and a decision
     * on it is due.
     */
    fun isDecisionDue(
        traits: Set<RequestTrait>,
        nowMs: Long,
    ): Boolean = suspects.isDecisionDue(traits, nowMs - AMBIGUOUS_DELAY_MS)

    /** Returns whether an answer on [traits] would clear one of them or lift a quarantine. */
    fun isInQuestion(traits: Set<RequestTrait>): Boolean =
        traits.any { it in suspects } || table.active.any { it.covers(traits) }

    /**
     * Returns whether a request may be sent in spite of [quarantine], to see whether it is right. A right one costs an
     * upstream each time, so the next comes much later.
     */
    fun isProbeDue(
        quarantine: Quarantine,
        nowMs: Long,
    ): Boolean {
        val dueMs = PROBES_AFTER_MS.getOrNull(quarantine.probes) ?: return false
        return nowMs - quarantine.decidedMs >= dueMs
    }

    /** Counts a request that is sent in spite of [quarantine]. */
    fun recordProbe(
        quarantine: Quarantine,
        nowMs: Long,
    ) = put(quarantine.copy(probes = quarantine.probes + 1), QuarantineReason.PROBED, nowMs)

    /** Returns the time after which a request in [quarantine] may come back. */
    fun retryAfterMs(
        quarantine: Quarantine,
        nowMs: Long,
    ): Long {
        val dueMs = PROBES_AFTER_MS.getOrNull(quarantine.probes) ?: return LONGEST_RETRY_MS
        return (quarantine.decidedMs + dueMs - nowMs).coerceIn(SHORTEST_RETRY_MS, LONGEST_RETRY_MS)
    }

    /** Returns the quarantines that have changed since [version]. */
    fun changedAfter(version: Long): List<Quarantine> = table.changedAfter(version)

    fun forget(nowMs: Long) {
        suspects.forget(nowMs)
        table.forget(nowMs)
    }

    /** The end of an upstream under a quarantine says nothing about the other prompts that were on it. */
    private fun recordLoss(evidence: RunEvidence): Suspicion {
        val known = table.active.firstOrNull { it.covers(evidence.traits) }
        if (known != null) {
            suspects.recordExplained(evidence, known.traits)
            return Suspicion.NONE
        }
        return Suspicion(suspected = suspects.recordLoss(evidence))
    }

    private fun recordAnswer(
        evidence: RunEvidence,
        nowMs: Long,
    ): Suspicion {
        suspects.recordAlive(evidence.upstream, evidence.sentMs)
        val cleared = suspects.recordAnswer(evidence)
        table.active
            .filter { it.covers(evidence.traits) && isLater(evidence, it) }
            .forEach { lift(it, QuarantineReason.ANSWERED, nowMs, evidence) }
        return Suspicion(cleared = cleared)
    }

    private fun isLater(
        evidence: RunEvidence,
        quarantine: Quarantine,
    ) = evidence.sentMs > (quarantine.crashes.minOfOrNull { it.endedMs } ?: quarantine.decidedMs)

    private fun isNarrowedBy(
        wider: Quarantine,
        narrower: Quarantine,
    ) = wider.traits.size > narrower.traits.size && wider.traits.containsAll(narrower.traits)

    private fun lift(
        quarantine: Quarantine,
        reason: QuarantineReason,
        nowMs: Long,
        evidence: RunEvidence? = null,
    ) {
        val lifted =
            quarantine.copy(
                state = QuarantineState.LIFTED,
                round = quarantine.round + 1,
                decidedBy = self,
                decidedMs = nowMs,
            )
        put(lifted, reason, nowMs, evidence)
    }

    private fun put(
        quarantine: Quarantine,
        reason: QuarantineReason,
        nowMs: Long,
        evidence: RunEvidence? = null,
    ) {
        table.put(quarantine, nowMs)
        onChange(QuarantineChange(quarantine, reason, evidence))
    }

    companion object {
        /** Upstreams that have to end one after the other when they have begun to answer requests with the same part. */
        const val THRESHOLD = SuspectTable.CRASHES

        /** Longer than a report takes, and than a short prompt takes to its second event. */
        const val DECISION_DELAY_MS = 100L

        /** Until then an answer has shown which of several prompts are sound. */
        const val AMBIGUOUS_DELAY_MS = 400L

        /** When a request is let through, counted from the decision; no further one follows. */
        val PROBES_AFTER_MS = listOf(10_000L, 600_000L)
        private const val SHORTEST_RETRY_MS = 1_000L
        private const val LONGEST_RETRY_MS = 30_000L
    }
}

/** The traits of prompts that are newly suspected, and those that are no longer. */
class Suspicion(
    val suspected: List<RequestTrait> = emptyList(),
    val cleared: List<RequestTrait> = emptyList(),
) {
    companion object {
        val NONE = Suspicion()
    }
}
