package samphirechute.routing.limit

import samphirechute.core.UpstreamId

/**
 * The newest evidence of the limit of each upstream.
 *
 * Answers overtake each other, and a stream names the limit of the time at which it began. Evidence therefore replaces
 * other evidence only if its request was sent after the answer of the other had arrived. If the order of two answers is
 * unknown, the one with the lower limit is believed. Upstreams without a limit are remembered for some time, so that
 * an older answer that arrives late does not bring their limit back.
 */
class LimitBeliefs {
    private val beliefs = HashMap<UpstreamId, Belief>()

    /** Grows with each limit that is named, changed or ended. */
    var version = 0L
        private set

    /** Takes in [evidence] and returns the change of the limit that follows from it, or null if the limit stays. */
    fun record(evidence: LimitEvidence): LimitChange? {
        val known = beliefs[evidence.upstream]
        if (known == null && evidence.requestsPerS == null) return null
        if (known != null && !replaces(evidence, known.evidence)) return null
        val before = known?.evidence?.requestsPerS
        if (known != null && before == evidence.requestsPerS) {
            known.evidence = evidence
            return null
        }
        beliefs[evidence.upstream] = Belief(evidence, ++version)
        return LimitChange(before, evidence)
    }

    /** Returns the evidence of the limit of [upstream], or null if none is believed. */
    operator fun get(upstream: UpstreamId): LimitEvidence? =
        beliefs[upstream]?.evidence?.takeIf { it.requestsPerS != null }

    /** Returns the evidence of all limits that are believed. */
    fun all(): List<LimitEvidence> = beliefs.values.map { it.evidence }.filter { it.requestsPerS != null }

    /** Returns the evidence of limits that were named, changed or ended since [version]. */
    fun changedAfter(version: Long): List<LimitEvidence> =
        beliefs.values.filter { it.version > version }.map { it.evidence }

    fun forget(upstream: UpstreamId) {
        beliefs -= upstream
    }

    /** Forgets ends of limits that are so old that no earlier answer can still arrive. */
    fun forgetEnded(nowMs: Long) {
        beliefs.values.removeIf {
            it.evidence.requestsPerS == null && nowMs - it.evidence.answeredMs > ENDED_KEEP_MS
        }
    }

    private fun replaces(
        evidence: LimitEvidence,
        known: LimitEvidence,
    ): Boolean =
        when {
            evidence.request == known.request && evidence.instance == known.instance -> false
            evidence.sentMs >= known.answeredMs -> true
            evidence.answeredMs < known.sentMs -> false
            evidence.requestsPerS == known.requestsPerS -> evidence.answeredMs > known.answeredMs
            else -> (evidence.requestsPerS ?: Double.MAX_VALUE) < (known.requestsPerS ?: Double.MAX_VALUE)
        }

    private class Belief(
        var evidence: LimitEvidence,
        val version: Long,
    )

    private companion object {
        /** Longer than the deadline of any request. */
        const val ENDED_KEEP_MS = 60_000L
    }
}

/** A limit that was named, changed or ended. */
data class LimitChange(
    /** Null if no limit was believed before. */
    val beforePerS: Double?,
    val evidence: LimitEvidence,
)
