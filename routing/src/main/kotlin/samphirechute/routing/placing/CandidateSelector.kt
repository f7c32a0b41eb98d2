package samphirechute.routing.placing

import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.routing.limit.UpstreamLimits
import samphirechute.routing.pace.PaceLoad
import samphirechute.routing.pace.PaceTable

/** Selects the upstreams that may take a request now. Used by [Placer]. */
internal class CandidateSelector(
    private val accounts: PlacementAccounts,
    private val limits: UpstreamLimits,
    private val turnedAway: TurnedAwayTable,
    private val pace: PaceTable,
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
     * Upstreams beyond their pace are left out while at least half of the others remain.
     */
    fun candidates(
        profile: PoolProfile,
        request: PlacementRequest,
        nowMs: Long,
    ): List<UpstreamLoad> {
        val open =
            open(request).filter {
                pace.isUnderColdRate(it.upstream.id, profile.coldRequestsPerS, nowMs) &&
                    limits.waitMs(it.upstream.id, nowMs) == 0L &&
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
        return paced(trusted.ifEmpty { preferred }, profile, nowMs)
    }

    /** With fewer than half, the rest would get more load than it can take instead of those that are disturbed. */
    private fun paced(
        loads: List<UpstreamLoad>,
        profile: PoolProfile,
        nowMs: Long,
    ): List<UpstreamLoad> {
        val engine = profile.engine
        val tokensPerS = (engine?.readTokensPerMs ?: 0.0) * MS_PER_SECOND
        val paced =
            loads.filter {
                val slots = if (engine == null) null else it.upstream.slots
                pace.mayGrant(it.upstream.id, PaceLoad(it.running, slots, tokensPerS), nowMs)
            }
        return if (paced.size * 2 >= loads.size) paced else loads
    }

    private fun isDoubtful(
        load: UpstreamLoad,
        nowMs: Long,
    ) = load.upstream.isSilent && nowMs - load.lastAnswerMs > TRUST_AFTER_ANSWER_MS

    private companion object {
        /** A silent upstream that has answered a request this recently is used like others. */
        const val TRUST_AFTER_ANSWER_MS = 2_000L
        const val MS_PER_SECOND = 1_000.0
    }
}
