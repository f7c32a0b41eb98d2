package samphirechute.serving.cluster

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import samphirechute.core.InstanceId
import samphirechute.core.RequestTrait
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.TimerService
import samphirechute.routing.quarantine.Crash
import samphirechute.routing.quarantine.Quarantine
import samphirechute.routing.quarantine.QuarantineChange
import samphirechute.routing.quarantine.QuarantineReason
import samphirechute.routing.quarantine.RequestQuarantine
import samphirechute.routing.quarantine.RunEvidence
import samphirechute.routing.quarantine.RunOutcome

/**
 * The prompts that this instance believes to crash upstreams, from how attempts ended and from what other instances have
 * decided. Each suspicion and each change is logged with what it follows from, and metrics give numbers and ages.
 */
class QuarantineRegistry(
    private val self: InstanceId,
    private val timer: TimerService,
    private val quarantine: RequestQuarantine,
    registry: PrometheusRegistry,
) {
    /** Receives what the instance that places requests has to know of attempts of this one. */
    var onEvidence: (RunEvidence) -> Unit = {}

    /** Receives each change, whether it was decided here or learned from another instance. */
    var onChange: (QuarantineChange) -> Unit = {}

    /** True while no other instance takes evidence, so that this one has to decide from its own. */
    var isAlone: () -> Boolean = { false }

    /** Grows with each change of a quarantine. */
    val version: Long get() = quarantine.version

    private var isDecisionScheduled = false
    private var lastLossMs = Long.MIN_VALUE / 2
    private val refused =
        Counter
            .builder()
            .name("samphirechute_quarantine_refusals_total")
            .help("Grants that were not used because the prompt is in quarantine here.")
            .register(registry)

    init {
        quarantine.onChange = ::changed
        gauge(registry, "samphirechute_quarantined_prompts", "The quarantines of prompts that are in force here.") {
            quarantine.active.size.toDouble()
        }
        gauge(
            registry,
            "samphirechute_suspected_prompt_parts",
            "The parts of prompts suspected of crashing upstreams.",
        ) {
            quarantine.suspected.toDouble()
        }
        gauge(
            registry,
            "samphirechute_quarantine_evidence_age_seconds",
            "The time since the last crash that led to a quarantine in force here; 0 without one.",
        ) { (quarantine.active.maxOfOrNull(::lastCrashMs)?.let { timer.nowMs() - it } ?: 0) / MS_PER_SECOND }
    }

    /** Takes in how an attempt of this instance ended, and passes it on. */
    fun observe(evidence: RunEvidence) {
        if (evidence.traits.isEmpty()) return
        if (isAlone()) record(evidence)
        onEvidence(evidence)
    }

    /** Returns whether an answer on [traits] has to be observed although no coordinator asks for it. */
    fun isInQuestion(traits: Set<RequestTrait>): Boolean = isAlone() && quarantine.isInQuestion(traits)

    /** Returns the quarantine that a prompt with [traits] is in, or null. */
    fun find(traits: Set<RequestTrait>): Quarantine? = quarantine.find(traits, timer.nowMs())

    /** Counts a grant that is not used because of [found] and returns the time after which the request may come back. */
    fun refuse(found: Quarantine): Long {
        refused.inc()
        return quarantine.retryAfterMs(found, timer.nowMs())
    }

    /** Takes in how attempts of another instance ended. */
    fun record(notices: List<RunNotice>) = notices.forEach { record(it.toEvidence(timer.nowMs())) }

    /** Takes over what other instances have decided. */
    fun merge(notices: List<QuarantineNotice>) {
        val nowMs = timer.nowMs()
        quarantine.merge(notices.map { it.toQuarantine(nowMs) }, nowMs)
    }

    /** Takes over what the replicated log holds. */
    fun restore(recorded: List<Quarantine>) = quarantine.merge(recorded, timer.nowMs())

    /** All quarantines, lifted ones too. */
    fun quarantines(): List<Quarantine> = quarantine.changedAfter(0)

    /** Returns what has changed since [version], for other instances. */
    fun changedAfter(version: Long): List<QuarantineNotice> = quarantine.changedAfter(version).map(::notice)

    /** Returns all that is believed, lifted quarantines too, for an instance that may know nothing or something older. */
    fun all(): List<QuarantineNotice> = changedAfter(0)

    fun notice(evidence: RunEvidence) = RunNotice.of(evidence, timer.nowMs())

    fun notice(entry: Quarantine) = QuarantineNotice.of(entry, timer.nowMs())

    fun forget() = quarantine.forget(timer.nowMs())

    private fun record(evidence: RunEvidence) {
        val suspicion = quarantine.record(evidence, timer.nowMs())
        if (suspicion.suspected.isNotEmpty()) logSuspicion("prompt_parts_suspected", suspicion.suspected, evidence)
        if (suspicion.cleared.isNotEmpty()) logSuspicion("prompt_parts_cleared", suspicion.cleared, evidence)
        if (evidence.outcome == RunOutcome.SOUND) return
        lastLossMs = maxOf(lastLossMs, evidence.endedMs)
        scheduleDecision()
    }

    /** Decides while the evidence of the last loss may still lead to a decision. */
    private fun scheduleDecision() {
        if (isDecisionScheduled) return
        isDecisionScheduled = true
        timer.after(DECISION_EVERY_MS) {
            isDecisionScheduled = false
            val nowMs = timer.nowMs()
            quarantine.decide(nowMs)
            if (nowMs - lastLossMs <= RequestQuarantine.AMBIGUOUS_DELAY_MS) scheduleDecision()
        }
    }

    private fun changed(change: QuarantineChange) {
        val entry = change.quarantine
        log.event(
            if (entry.isActive) "prompt_quarantined" else "quarantine_lifted",
            mapOf(
                "parts" to entry.traits.take(MAX_LOGGED_PARTS),
                "reason" to change.reason.name.lowercase(),
                "round" to entry.round,
                "probes" to entry.probes,
                "crashed" to entry.crashes.map { "${it.upstream}/${timer.nowMs() - it.endedMs}ms" },
                "decided_by" to entry.decidedBy,
                "decided_age_ms" to timer.nowMs() - entry.decidedMs,
                "request" to change.evidence?.request,
                "answered_by" to change.evidence?.upstream,
            ),
        )
        onChange(change)
    }

    private fun logSuspicion(
        event: String,
        traits: List<RequestTrait>,
        evidence: RunEvidence,
    ) = log.event(
        event,
        mapOf(
            "parts" to traits.take(MAX_LOGGED_PARTS),
            "number" to traits.size,
            "request" to evidence.request,
            "sent_by" to evidence.instance,
            "upstream" to evidence.upstream,
            "ran_ms" to evidence.endedMs - evidence.sentMs,
            "age_ms" to timer.nowMs() - evidence.endedMs,
        ),
    )

    private fun lastCrashMs(entry: Quarantine) = entry.crashes.maxOfOrNull(Crash::endedMs) ?: entry.decidedMs

    private fun gauge(
        registry: PrometheusRegistry,
        name: String,
        help: String,
        value: () -> Double,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(value()) }
            .register(registry)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val MAX_LOGGED_PARTS = 16
        const val DECISION_EVERY_MS = 50L
        val log = KeyValueLog("quarantine")
    }
}
