package samphirechute.routing.flow

import samphirechute.core.RequestId
import samphirechute.core.UpstreamId

/**
 * What one instance has seen of each upstream. An upstream that went silent or failed is excluded for a time that
 * doubles with each further failure; after it, a single repeatable request may try the upstream, and its first token
 * admits the upstream again.
 */
class UpstreamHealth {
    private val failed = HashMap<UpstreamId, Exclusion>()

    /**
     * The upstreams that an attempt of [request] must not use. An upstream that is due for a probe is left out of the
     * set for one request at a time, and only when [mayProbe].
     */
    fun excludedFor(
        request: RequestId,
        mayProbe: Boolean,
        nowMs: Long,
    ): Set<UpstreamId> {
        if (failed.isEmpty()) return emptySet()
        return failed
            .filterNot { (_, exclusion) -> mayProbe && exclusion.admits(request, nowMs) }
            .keys
            .toSet()
    }

    /** The attempt of [request] uses [upstream], or none; the other probes that were kept for it are free again. */
    fun chose(
        request: RequestId,
        upstream: UpstreamId?,
    ) {
        for ((id, exclusion) in failed) if (id != upstream && exclusion.prober == request) exclusion.prober = null
    }

    fun recordSuccess(upstream: UpstreamId) {
        failed.remove(upstream)
    }

    fun recordFailure(
        upstream: UpstreamId,
        nowMs: Long,
    ) {
        val exclusion = failed.getOrPut(upstream) { Exclusion() }
        // Requests that were under way when the upstream failed end together and count as one failure.
        if (exclusion.prober == null && nowMs < exclusion.untilMs) return
        exclusion.prober = null
        exclusion.untilMs = nowMs + exclusion.nextMs
        exclusion.nextMs = minOf(2 * exclusion.nextMs, LONGEST_MS)
    }

    private class Exclusion(
        var untilMs: Long = Long.MIN_VALUE,
        var nextMs: Long = FIRST_MS,
        var prober: RequestId? = null,
    ) {
        fun admits(
            request: RequestId,
            nowMs: Long,
        ): Boolean {
            if (nowMs < untilMs) return false
            if (prober == null) prober = request
            return prober == request
        }
    }

    private companion object {
        const val FIRST_MS = 1_000L
        const val LONGEST_MS = 30_000L
    }
}
