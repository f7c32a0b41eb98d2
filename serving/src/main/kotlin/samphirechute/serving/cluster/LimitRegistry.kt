package samphirechute.serving.cluster

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.Clock
import samphirechute.routing.limit.LimitEvidence
import samphirechute.routing.limit.LimitStatement
import samphirechute.routing.limit.UpstreamLimits
import samphirechute.routing.placing.Placement

/**
 * The limits that this instance believes upstreams to have, from answers and from what other instances have read in
 * theirs. Each change is logged, and metrics say from which answer each limit is and how old that answer is.
 */
class LimitRegistry(
    private val self: InstanceId,
    private val clock: Clock,
    private val limits: UpstreamLimits,
    registry: PrometheusRegistry,
) {
    private val lastSharedMs = HashMap<UpstreamId, Long>()

    /** Upstreams with a limit that the coordinator believes and this instance does not. */
    private val limitedElsewhere = HashSet<UpstreamId>()

    /** The last value of each upstream that could not be read; each is logged once. */
    private val unreadable = HashMap<UpstreamId, String>()

    /** Receives what the coordinator has to know of answers to this instance. */
    var onEvidence: (LimitEvidence) -> Unit = {}

    /** Grows with each limit that is named, changed or ended. */
    val version: Long get() = limits.version

    init {
        gauge(
            registry,
            "samphirechute_upstream_limit_requests_per_second",
            "The rate of requests that an upstream says it takes from all instances together.",
        ) { it.requestsPerS ?: 0.0 }
        gauge(
            registry,
            "samphirechute_upstream_limit_age_seconds",
            "The age of the answer that the limit of an upstream is believed from.",
        ) { (clock.nowMs() - it.answeredMs) / MS_PER_SECOND }
    }

    /** Takes in what the answer to [request], which was sent at [sentMs], says about the limit of [upstream]. */
    fun observe(
        upstream: UpstreamId,
        statement: LimitStatement,
        request: RequestId,
        sentMs: Long,
    ) {
        val requestsPerS =
            when (statement) {
                is LimitStatement.None -> null
                is LimitStatement.Named -> statement.requestsPerS
                is LimitStatement.Unreadable -> unreadableLimit(upstream, statement, request) ?: return
            }
        val evidence = LimitEvidence(upstream, requestsPerS, sentMs, clock.nowMs(), request, self)
        val isNews = requestsPerS == null && limitedElsewhere.remove(upstream)
        if (record(evidence) || isNews || isShareDue(evidence)) share(evidence)
    }

    /** Takes in what other instances have read; returns true if a limit was named, changed or ended by it. */
    fun merge(notices: List<LimitNotice>): Boolean {
        val nowMs = clock.nowMs()
        return notices.count {
            record(
                LimitEvidence(
                    it.upstream,
                    it.requestsPerS,
                    nowMs - it.sentAgeMs,
                    nowMs - it.answeredAgeMs,
                    it.request,
                    it.instance,
                ),
            )
        } > 0
    }

    /** Returns what has changed since [version], for other instances. */
    fun changedAfter(version: Long): List<LimitNotice> = limits.changedAfter(version).map(::notice)

    /** Forgets what is no longer needed of upstreams that are not [isPresent]. */
    fun forget(isPresent: (UpstreamId) -> Boolean) {
        limits.forget(isPresent, clock.nowMs())
        listOf(lastSharedMs.keys, limitedElsewhere, unreadable.keys).forEach { ids -> ids.removeIf { !isPresent(it) } }
    }

    /** Returns all that is believed, ends of limits too, for a coordinator that may know nothing or something older. */
    fun all(): List<LimitNotice> = changedAfter(0)

    fun notice(evidence: LimitEvidence): LimitNotice {
        val nowMs = clock.nowMs()
        return LimitNotice(
            evidence.upstream,
            evidence.requestsPerS,
            nowMs - evidence.sentMs,
            nowMs - evidence.answeredMs,
            evidence.request,
            evidence.instance,
        )
    }

    /**
     * Returns whether [granted] keeps the limits that this instance believes. The coordinator may not know a limit that
     * has just been named; such a grant counts against the share of this instance.
     */
    fun admits(granted: Placement.Granted): Boolean {
        val engines = listOf(granted.upstream) + granted.helpers.map { it.upstream }
        limitedElsewhere += granted.limitsPerS.keys.filter { limits[it] == null }
        val unknown = engines.mapNotNull { limits[it] }.filter { isUnknownTo(granted, it) }
        unknown.forEach(::share)
        if (unknown.any { limits.waitMs(it.upstream, clock.nowMs()) > 0 }) return false
        unknown.forEach { limits.charge(it.upstream, clock.nowMs()) }
        return true
    }

    private fun isUnknownTo(
        granted: Placement.Granted,
        evidence: LimitEvidence,
    ): Boolean {
        val keptPerS = granted.limitsPerS[evidence.upstream] ?: return true
        return keptPerS > (evidence.requestsPerS ?: return false) * TOLERATED_RATIO
    }

    /** A limit that stays is shared again from time to time, so that its end is not mistaken for an older answer. */
    private fun isShareDue(evidence: LimitEvidence): Boolean {
        if (evidence.requestsPerS == null) return false
        return clock.nowMs() - (lastSharedMs[evidence.upstream] ?: Long.MIN_VALUE / 2) >= SHARE_INTERVAL_MS
    }

    private fun share(evidence: LimitEvidence) {
        if (evidence.requestsPerS == null) {
            lastSharedMs -= evidence.upstream
        } else {
            lastSharedMs[evidence.upstream] = clock.nowMs()
        }
        onEvidence(evidence)
    }

    private fun record(evidence: LimitEvidence): Boolean {
        val change = limits.record(evidence, clock.nowMs()) ?: return false
        log.event(
            if (evidence.requestsPerS == null) "limit_ended" else "limit_named",
            mapOf(
                "upstream" to evidence.upstream,
                "per_s" to evidence.requestsPerS,
                "before_per_s" to change.beforePerS,
                "request" to evidence.request,
                "answered_by" to evidence.instance,
                "age_ms" to clock.nowMs() - evidence.answeredMs,
            ),
        )
        return true
    }

    /** Returns the limit that holds on while the upstream names one that cannot be read, or null if there is none. */
    private fun unreadableLimit(
        upstream: UpstreamId,
        statement: LimitStatement.Unreadable,
        request: RequestId,
    ): Double? {
        val requestsPerS = limits[upstream]?.requestsPerS
        if (unreadable.put(upstream, statement.text) == statement.text) return requestsPerS
        log.warn(
            "limit_unreadable",
            mapOf("upstream" to upstream, "value" to statement.text, "request" to request, "per_s" to requestsPerS),
        )
        return requestsPerS
    }

    private fun gauge(
        registry: PrometheusRegistry,
        name: String,
        help: String,
        value: (LimitEvidence) -> Double,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .labelNames("upstream", "request", "answered_by")
            .callback { callback ->
                limits.all().forEach {
                    callback.call(value(it), it.upstream.value, it.request.value, it.instance.value)
                }
            }.register(registry)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val SHARE_INTERVAL_MS = 500L

        /** Limits that change a little with each answer are not the same everywhere. */
        const val TOLERATED_RATIO = 1.25
        val log = KeyValueLog("limits")
    }
}
