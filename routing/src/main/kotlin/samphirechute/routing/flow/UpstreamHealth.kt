package samphirechute.routing.flow

import samphirechute.core.RequestId
import samphirechute.core.UpstreamId

/**
 * Circuit breaker for the upstreams of one instance, shared by all its requests. An upstream that failed or went silent
 * is excluded for a time that doubles with each further failure. Then a single repeatable request may probe it, and a
 * first token ends the exclusion.
 */
class UpstreamHealth {
    private val excluded = HashMap<UpstreamId, Exclusion>()

    /**
     * The upstreams that an attempt of [request] must not use. If [mayProbe], an upstream that is due for a probe is
     * not part of the result, but only for one request at a time.
     */
    fun excludedFor(
        request: RequestId,
        mayProbe: Boolean,
        nowMs: Long,
    ): Set<UpstreamId> {
        if (excluded.isEmpty()) return emptySet()
        return excluded
            .filterNot { (_, exclusion) -> mayProbe && exclusion.admits(request, nowMs) }
            .keys
            .toSet()
    }

    /** Makes the probes reserved for [request] available to other requests, except that of [upstream] which it uses. */
    fun endUnusedProbes(
        request: RequestId,
        upstream: UpstreamId?,
    ) {
        for ((id, exclusion) in excluded) if (id != upstream && exclusion.probedBy == request) exclusion.probedBy = null
    }

    fun recordSuccess(upstream: UpstreamId) {
        excluded.remove(upstream)
    }

    fun recordFailure(
        upstream: UpstreamId,
        nowMs: Long,
    ) {
        val exclusion = excluded.getOrPut(upstream) { Exclusion() }
        // Requests that were running when the upstream failed end together and count as one failure.
        if (exclusion.probedBy == null && nowMs < exclusion.excludedUntilMs) return
        exclusion.probedBy = null
        exclusion.excludedUntilMs = nowMs + exclusion.nextExclusionMs
        exclusion.nextExclusionMs = minOf(2 * exclusion.nextExclusionMs, MAX_EXCLUSION_MS)
    }

    private class Exclusion(
        var excludedUntilMs: Long = Long.MIN_VALUE,
        var nextExclusionMs: Long = FIRST_EXCLUSION_MS,
        var probedBy: RequestId? = null,
    ) {
        fun admits(
            request: RequestId,
            nowMs: Long,
        ): Boolean {
            if (nowMs < excludedUntilMs) return false
            if (probedBy == null) probedBy = request
            return probedBy == request
        }
    }

    private companion object {
        const val FIRST_EXCLUSION_MS = 1_000L
        const val MAX_EXCLUSION_MS = 30_000L
    }
}
