package samphirechute.routing.placing

import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.routing.limit.UpstreamLimits

/** Selects the upstreams that may take a request now. Used by [Placer]. */
internal class CandidateSelector(
    private val accounts: PlacementAccounts,
    private val limits: UpstreamLimits,
    private val turnedAway: TurnedAwayTable,
    private val hasPeerPlacers: () -> Boolean,
) {
    /** Returns the upstreams of the service that are open, whether or not they may take a request now. */
    fun open(request: PlacementRequest): List<UpstreamLoad> =
        open(request.service).filter { it.upstream.id !in request.excluded }

    fun open(service: ServiceName): List<UpstreamLoad> =
        accounts.upstreams.filter { it.upstream.service == service && it.upstream.isOpen }

    /** Returns whether the service has an open upstream that is not among [excluded] and may get a request now. */
    fun hasOpen(
        service: ServiceName,
        excluded: Set<UpstreamId>,
        nowMs: Long,
    ): Boolean =
        accounts.upstreams.any {
            it.upstream.service == service && it.upstream.isOpen && it.upstream.id !in excluded &&
                limits.waitMs(it.upstream.id, nowMs) == 0L
        }

    /**
     * Returns the open upstreams that may take the request. Each preference is dropped if it leaves none: first for
     * failure domains that can be reached, then for the own one, then for upstreams that are neither paused nor silent.
     */
    fun candidates(
        profile: PoolProfile,
        request: PlacementRequest,
        nowMs: Long,
    ): List<UpstreamLoad> {
        val open =
            open(request).filter {
                !isAtColdLimit(it, profile, nowMs) && limits.waitMs(it.upstream.id, nowMs) == 0L &&
                    turnedAway.remainingMs(request.instance, it.upstream.id, nowMs) == 0L
            }
        val reachable =
            open
                .filter { !accounts.linkHealth.isCut(request.failureDomain, it.upstream.failureDomain, nowMs) }
                .ifEmpty { open }
        val inDomain =
            if (hasPeerPlacers()) {
                reachable.filter { it.upstream.failureDomain == request.failureDomain }
            } else {
                reachable
            }
        val preferred = inDomain.ifEmpty { reachable }
        val trusted = preferred.filter { !it.isPaused(nowMs) && !isDoubtful(it, nowMs) }
        return trusted.ifEmpty { preferred }
    }

    private fun isDoubtful(
        load: UpstreamLoad,
        nowMs: Long,
    ) = load.upstream.isSilent && nowMs - load.lastAnswerMs > TRUST_AFTER_ANSWER_MS

    /**
     * An upstream may become cold without announcing it, so none is granted more requests per second than a cold one
     * can serve.
     */
    private fun isAtColdLimit(
        load: UpstreamLoad,
        profile: PoolProfile,
        nowMs: Long,
    ) = profile.coldRequestsPerS > 0 && load.recentGrants(nowMs) >= profile.coldRequestsPerS * COLD_SHARE

    private companion object {
        /** A silent upstream that has answered a request this recently is used like others. */
        const val TRUST_AFTER_ANSWER_MS = 2_000L

        /** Share of a cold upstream's request rate that is granted. */
        const val COLD_SHARE = 0.9
    }
}
