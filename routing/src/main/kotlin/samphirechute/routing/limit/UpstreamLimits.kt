package samphirechute.routing.limit

import samphirechute.core.UpstreamId
import kotlin.math.max
import kotlin.random.Random

/**
 * Decides when requests may be sent to upstreams that have named a limit, so that all placers together keep to it.
 *
 * A coordinator places for all instances and uses the whole limit, one interval after the answer that named it. Placers
 * that do not see each other's requests each use a share, and start at a random point of their interval, so that their
 * first requests do not come together. An upstream still gets a request now and then if its limit is 0, since only its
 * answers tell that it takes more again.
 */
class UpstreamLimits(
    private val random: Random = Random.Default,
    /** The number of placers that place on the same upstreams without seeing each other's requests, this one included. */
    private val placers: () -> Int = { 1 },
) {
    /** The number of placers that place on the same upstreams without seeing each other's requests. */
    val placerCount: Int get() = placers()
    private val beliefs = LimitBeliefs()
    private val pacers = HashMap<UpstreamId, RequestPacer>()

    /** Grows with each limit that is named, changed or ended. */
    val version: Long get() = beliefs.version

    /** Takes in [evidence] and returns the change of the limit that follows from it, or null if the limit stays. */
    fun record(
        evidence: LimitEvidence,
        nowMs: Long,
    ): LimitChange? {
        val change = beliefs.record(evidence) ?: return null
        val intervalMs = intervalMs(evidence.upstream)
        if (intervalMs ==
            null
        ) {
            pacers -= evidence.upstream
        } else {
            pacer(evidence.upstream, nowMs).shorten(nowMs, intervalMs)
        }
        return change
    }

    /** Returns the evidence of the limit of [upstream], or null if none is believed. */
    operator fun get(upstream: UpstreamId): LimitEvidence? = beliefs[upstream]

    /** Returns the evidence of all limits that are believed. */
    fun all(): List<LimitEvidence> = beliefs.all()

    /** Returns the evidence of limits that were named, changed or ended since [version]. */
    fun changedAfter(version: Long): List<LimitEvidence> = beliefs.changedAfter(version)

    /** Returns the rate at which this placer may send to [upstream], or null if the upstream names no limit. */
    fun allowedPerS(upstream: UpstreamId): Double? {
        val namedPerS = beliefs[upstream]?.requestsPerS ?: return null
        val totalPerS = max(namedPerS, PROBE_PER_S)
        val count = placers()
        return if (count <= 1) totalPerS else totalPerS * SHARED_PART / count
    }

    /** Returns the time until this placer may send a request to [upstream], or 0. */
    fun waitMs(
        upstream: UpstreamId,
        nowMs: Long,
    ): Long {
        val intervalMs = intervalMs(upstream) ?: return 0
        return pacer(upstream, nowMs).waitMs(nowMs, intervalMs)
    }

    /** Counts a request that is sent to [upstream]. */
    fun charge(
        upstream: UpstreamId,
        nowMs: Long,
    ) {
        val intervalMs = intervalMs(upstream) ?: return
        pacer(upstream, nowMs).charge(nowMs, intervalMs)
    }

    /** Forgets old limits of upstreams that are not [isKnown], and old ends of limits. */
    fun forget(
        isKnown: (UpstreamId) -> Boolean,
        nowMs: Long,
    ) {
        beliefs.forget(isKnown, nowMs)
        pacers.keys.removeIf { beliefs[it] == null }
    }

    private fun intervalMs(upstream: UpstreamId): Double? = allowedPerS(upstream)?.let { MS_PER_SECOND / it }

    /** Returns the pacer of a limited upstream; a new one begins when this placer starts or stops sharing the limit. */
    private fun pacer(
        upstream: UpstreamId,
        nowMs: Long,
    ): RequestPacer {
        val isShared = placers() > 1
        pacers[upstream]?.takeIf { it.isShared == isShared }?.let { return it }
        val intervalMs = intervalMs(upstream) ?: 0.0
        val firstMs =
            if (isShared) {
                nowMs + intervalMs * random.nextDouble()
            } else {
                max(nowMs.toDouble(), (beliefs[upstream]?.answeredMs ?: nowMs) + intervalMs)
            }
        return RequestPacer(isShared, firstMs, intervalMs).also { pacers[upstream] = it }
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0

        /** The rate of requests by which the end or change of a very low limit is noticed. */
        const val PROBE_PER_S = 0.25

        /** Placers that share a limit use half of it, since their requests may come together by chance. */
        const val SHARED_PART = 0.5
    }
}
