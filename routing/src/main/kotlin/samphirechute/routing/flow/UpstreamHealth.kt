package samphirechute.routing.flow

import samphirechute.core.RequestId
import samphirechute.core.UpstreamId

/**
 * What one instance has seen of each upstream. An upstream that went silent or exclusions is excluded for a time that
 * doubles with each further failure; after it, a single repeatable request may try the upstream, and its first token
 * admits the upstream again.
 */
class UpstreamHealth {
    private val exclusions = HashMap<UpstreamId, Exclusion>()

    /**
     * The upstreams that an attempt of [request] must not use. An upstream that is due for a probe is left out of the
     * set for one request at a time, and only when [mayProbe].
     */
    fun excludedFor(
        request: RequestId,
        mayProbe: Boolean,
        nowMs: Long,
    ): Set<UpstreamId> {
        if (exclusions.isEmpty()) return emptySet()
        return exclusions
            .filterNot { (_, exclusion) -> mayProbe && exclusion.admits(request, nowMs) }
            .keys
            .toSet()
    }

    /** The attempt of [request] uses [upstream], or none; the other probes that were kept for it are free again. */
    fun endUnusedProbes(
        request: RequestId,
        upstream: UpstreamId?,
    ) {
        for ((id, exclusion) in exclusions) if (id != upstream && exclusion.probingRequest == request) exclusion.probingRequest = null
    }

    fun recordSuccess(upstream: UpstreamId) {
        exclusions.remove(upstream)
    }

    fun recordFailure(
        upstream: UpstreamId,
        nowMs: Long,
    ) {
        val exclusion = exclusions.getOrPut(upstream) { Exclusion() }
        // Requests that were under way when the upstream exclusions end together and count as one failure.
        if (exclusion.probingRequest == null && nowMs < exclusion.excludedUntilMs) return
        exclusion.probingRequest = null
        exclusion.excludedUntilMs = nowMs + exclusion.nextExclusionMs
        exclusion.nextExclusionMs = minOf(2 * exclusion.nextExclusionMs, MAX_EXCLUSION_MS)
    }

    private class Exclusion(
        var excludedUntilMs: Long = Long.MIN_VALUE,
        var nextExclusionMs: Long = FIRST_EXCLUSION_MS,
        var probingRequest: RequestId? = null,
    ) {
        fun admits(
            request: RequestId,
            nowMs: Long,
        ): Boolean {
            if (nowMs < excludedUntilMs) return false
            if (probingRequest == null) probingRequest = request
            return probingRequest == request
        }
    }

    private companion object {
        const val FIRST_EXCLUSION_MS = 1_000L
        const val MAX_EXCLUSION_MS = 30_000L
    }
}
