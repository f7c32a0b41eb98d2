package samphirechute.routing

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.PoolName
import samphirechute.routing.DomainChooser.Companion.STALE_MS

/**
 * Chooses the failure domain whose coordinator an instance asks for a grant: its own first, unless another predicts a
 * far earlier first token, and after a refusal for lack of capacity one other, by headroom. A domain that is drained, has no coordinator or has not been heard of for
 * [STALE_MS] is left out.
 */
class DomainChooser(
    private val ownDomain: FailureDomain,
) {
    private val known = HashMap<FailureDomain, Known>()

    /** Takes in a digest. Returns false when one at least as new is known. */
    fun update(
        digest: DomainDigest,
        nowMs: Long,
    ): Boolean {
        val last = known[digest.failureDomain]
        if (last != null && !digest.isNewerThan(last.digest)) return false
        known[digest.failureDomain] = Known(digest, nowMs)
        return true
    }

    /** The newest digest of each domain that is not stale, to be passed on to other instances. */
    fun digests(nowMs: Long): List<DomainDigest> = known.values.filter { it.isFresh(nowMs) }.map { it.digest }

    /**
     * The coordinator to ask for [request] after those of [tried] were asked; null when the caller is to be refused.
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
        // After one other domain only the own one is left, if it was passed over.
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
        known.keys
            .filter { it != ownDomain && it !in tried }
            .mapNotNull { targetOf(it, request.pool, nowMs) }
            .minWithOrNull(byHeadroom(request.promptTokens + request.maxTokens))

    /** A domain that has just returned is cold: a queue forms in it while the other domains have room. */
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
        val digest = known[domain]?.takeIf { it.isFresh(nowMs) }?.digest ?: return null
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

    private class Known(
        val digest: DomainDigest,
        val heardMs: Long,
    ) {
        fun isFresh(nowMs: Long) = nowMs - heardMs <= STALE_MS
    }

    companion object {
        /** Digests are up to a second old; a smaller difference would send all instances to one domain in turn. */
        private const val FAR_SLOWER_MS = 1_000L

        /** Digests of the far side of a partition expire after this long. */
        const val STALE_MS = 3_000L
    }
}

/** A coordinator to ask, and what its domain said of the pool. */
data class DomainTarget(
    val failureDomain: FailureDomain,
    val coordinator: InstanceId,
    val address: HostPort,
    val digest: PoolDigest,
)
