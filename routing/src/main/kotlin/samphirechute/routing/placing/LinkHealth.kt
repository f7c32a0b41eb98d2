package samphirechute.routing.placing

import samphirechute.core.FailureDomain
import samphirechute.core.UpstreamId

/**
 * Which failure domains cannot be reached from which. When several upstreams of one domain cannot be connected to from
 * another, the way there is cut, and trying each of the rest would cost every request a connect timeout. A cut way is
 * tried by one request at a time.
 */
internal class LinkHealth {
    private val links = HashMap<Pair<FailureDomain, FailureDomain>, Link>()

    fun unreachable(
        from: FailureDomain,
        upstream: PlacementTarget,
        nowMs: Long,
    ) = links.getOrPut(from to upstream.failureDomain) { Link() }.failed(upstream.id, nowMs)

    fun reached(
        from: FailureDomain,
        upstream: PlacementTarget,
    ) {
        links -= from to upstream.failureDomain
    }

    fun isCut(
        from: FailureDomain,
        to: FailureDomain,
        nowMs: Long,
    ): Boolean = links[from to to]?.isCut(nowMs) ?: false

    /** A request is sent over the way; while it is cut, no further one is for a while. */
    fun used(
        from: FailureDomain,
        to: FailureDomain,
        nowMs: Long,
    ) {
        links[from to to]?.used(nowMs)
    }

    private class Link {
        private val failedMs = HashMap<UpstreamId, Long>()
        private var nextTryMs = 0L
        private var isClosed = false

        fun failed(
            upstream: UpstreamId,
            nowMs: Long,
        ) {
            failedMs.values.removeIf { nowMs - it > WINDOW_MS }
            failedMs[upstream] = nowMs
            if (failedMs.size < CUT_FAILURES && !isClosed) return
            isClosed = true
            nextTryMs = nowMs + TRY_EVERY_MS
        }

        fun isCut(nowMs: Long) = isClosed && nowMs < nextTryMs

        fun used(nowMs: Long) {
            if (isClosed) nextTryMs = nowMs + TRY_EVERY_MS
        }
    }

    private companion object {
        const val CUT_FAILURES = 2
        const val WINDOW_MS = 2_000L
        const val TRY_EVERY_MS = 1_000L
    }
}
