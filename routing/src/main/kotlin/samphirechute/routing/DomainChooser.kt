package samphirechute.routing

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.PoolName
import samphirechute.routing.DomainChooser.Companion.STALE_MS

/**
 * Chooses the failure domain whose coordinator an instance asks for a grant. Each instance has one and feeds it the
 * digests of all domains.
 *
 * An instance asks its own domain first, unless another predicts a much earlier first token. When the first domain has
 * no capacity, one other domain is tried, the one with the most headroom. Domains that are drained, have no coordinator
 * or sent no digest for [STALE_MS] are skipped.
 */
class DomainChooser(
    private val ownDomain: FailureDomain,
) {
    private val received = HashMap<FailureDomain, ReceivedDigest>()

    /** Stores [digest]. Returns false, and ignores it, when one at least as new is stored. */
    fun update(
        digest: DomainDigest,
        nowMs: Long,
    ): Boolean {
        val last = received[digest.failureDomain]
        if (last != null && !digest.isNewerThan(last.digest)) return false
        received[digest.failureDomain] = ReceivedDigest(digest, nowMs)
        return true
    }

    /** The newest digest of each domain, without stale ones, to forward to other instances. */
    fun digests(nowMs: Long): List<DomainDigest> = received.values.filter { it.isFresh(nowMs) }.map { it.digest }

    /**
     * The coordinator to ask for [request] after the domains in [tried] refused it, or null when no domain is left and
     * the request is to be refused.
     */
    fun next(
        request: GrantRequest,
        tried: List<FailureDomain>,
        nowMs: Long,
    ): DomainTarget? {
        if (tried.isEmpty()) {
            val own = targetOf(ownDomain, request.pool, nowMs)
            val other = bestOther(request, tried, nowMs)
            if (own != null && (other == null || !isFarSlower(own, other, request))) return own
            return other ?: own
        }
        // At most one other domain is tried. Afterwards only the own domain remains, if it was skipped at first.
        if (tried.any { it != ownDomain }) {
            return if (ownDomain in tried) null else targetOf(ownDomain, request.pool, nowMs)
        }
        return bestOther(request, tried, nowMs)
    }

    private fun bestOther(
        request: GrantRequest,
        tried: List<FailureDomain>,
        nowMs: Long,
    ): DomainTarget? =
        received.keys
            .filter { it != ownDomain && it !in tried }
            .mapNotNull { targetOf(it, request.pool, nowMs) }
            .minWithOrNull(byHeadroom(request.promptTokens + request.maxTokens))

    /**
     * True when [own] predicts a much later first token than [other], which has room. This happens after a domain has
     * recovered: its engines are cold, so requests queue there while other domains have room.
     */
    private fun isFarSlower(
        own: DomainTarget,
        other: DomainTarget,
        request: GrantRequest,
    ) = own.digest.firstTokenMs > other.digest.firstTokenMs + FAR_SLOWER_MS &&
        other.digest.freeTokens >= request.promptTokens + request.maxTokens

    private fun targetOf(
        domain: FailureDomain,
        pool: PoolName,
        nowMs: Long,
    ): DomainTarget? {
        val digest = received[domain]?.takeIf { it.isFresh(nowMs) }?.digest ?: return null
        val coordinator = digest.coordinator ?: return null
        val address = digest.address ?: return null
        val poolDigest = digest.pools[pool]?.takeIf { it.upstreams > 0 } ?: return null
        return if (digest.isDrained) null else DomainTarget(domain, coordinator, address, poolDigest)
    }

    private fun byHeadroom(tokens: Long) =
        compareBy<DomainTarget>(
            { it.digest.freeTokens < tokens },
            { it.digest.firstTokenMs },
            { -it.digest.freeTokens },
            { it.failureDomain },
        )

    private class ReceivedDigest(
        val digest: DomainDigest,
        val receivedMs: Long,
    ) {
        fun isFresh(nowMs: Long) = nowMs - receivedMs <= STALE_MS
    }

    companion object {
        /**
         * Digests are up to a second old. With a smaller difference all instances would move from domain to domain
         * together.
         */
        private const val FAR_SLOWER_MS = 1_000L

        /** Digests older than this are ignored, such as those of domains behind a network partition. */
        const val STALE_MS = 3_000L
    }
}

/** A coordinator to ask for a grant, and what the digest of its domain says about the requested pool. */
data class DomainTarget(
    val failureDomain: FailureDomain,
    val coordinator: InstanceId,
    val address: HostPort,
    val digest: PoolDigest,
)
