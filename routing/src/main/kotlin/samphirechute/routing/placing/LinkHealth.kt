package samphirechute.routing.placing

import samphirechute.core.FailureDomain
import samphirechute.core.UpstreamId

/**
 * Tracks which failure domains cannot be reached from which others; used by [Placer].
 *
 * Once several upstreams of a domain cannot be connected to from another domain, the network between the two is taken
 * to be down, since trying each remaining upstream would cost every request a connect timeout. A link that is down is
 * retried by one request at a time.
 */
internal class LinkHealth {
    private val links = HashMap<Pair<FailureDomain, FailureDomain>, Link>()

    /** Records that [upstream] could not be connected to from a failure domain. */
    fun recordFailure(
        from: FailureDomain,
        upstream: PlacementTarget,
        nowMs: Long,
    ) = links.getOrPut(from to upstream.failureDomain) { Link() }.recordFailure(upstream.id, nowMs)

    /** Records an answer of [upstream], which shows that the link works. */
    fun recordSuccess(
        from: FailureDomain,
        upstream: PlacementTarget,
    ) {
        links -= from to upstream.failureDomain
    }

    /** Returns whether requests should avoid the link for now. */
    fun isCut(
        from: FailureDomain,
        to: FailureDomain,
        nowMs: Long,
    ): Boolean = links[from to to]?.isCut(nowMs) ?: false

    /**
     * Records that a request is sent over the link. If the link is down, no other one is sent for [RETRY_INTERVAL_MS].
     */
    fun recordAttempt(
        from: FailureDomain,
        to: FailureDomain,
        nowMs: Long,
    ) {
        links[from to to]?.recordAttempt(nowMs)
    }

    private class Link {
        private val failedMs = HashMap<UpstreamId, Long>()
        private var nextRetryMs = 0L
        private var isDown = false

        fun recordFailure(
            upstream: UpstreamId,
            nowMs: Long,
        ) {
            failedMs.values.removeIf { nowMs - it > WINDOW_MS }
            failedMs[upstream] = nowMs
            if (failedMs.size < CUT_FAILURES && !isDown) return
            isDown = true
            nextRetryMs = nowMs + RETRY_INTERVAL_MS
        }

        fun isCut(nowMs: Long) = isDown && nowMs < nextRetryMs

        fun recordAttempt(nowMs: Long) {
            if (isDown) nextRetryMs = nowMs + RETRY_INTERVAL_MS
        }
    }

    private companion object {
        /** The number of different upstreams that must fail within [WINDOW_MS]. */
        const val CUT_FAILURES = 2
        const val WINDOW_MS = 2_000L
        const val RETRY_INTERVAL_MS = 1_000L
    }
}
