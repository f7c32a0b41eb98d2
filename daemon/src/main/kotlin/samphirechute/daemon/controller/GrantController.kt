package samphirechute.daemon.controller

import com.github.michaelbull.result.fold
import kotlinx.serialization.builtins.ListSerializer
import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import samphirechute.daemon.Runtime
import samphirechute.daemon.peer.GrantReply
import samphirechute.daemon.peer.PeerRoutes
import samphirechute.daemon.peer.ReleaseMessage
import samphirechute.net.ClientCall
import samphirechute.net.peer.PeerClient
import samphirechute.net.peer.PeerJson
import samphirechute.routing.DomainChooser
import samphirechute.routing.DomainDigest
import samphirechute.routing.DomainTarget
import samphirechute.routing.Grant
import samphirechute.routing.GrantEnding
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantRequest
import samphirechute.routing.GrantResult
import samphirechute.routing.RefusalReason

/**
 * Requests grants from coordinators for the requests of this instance, and keeps the grants that it holds renewed.
 * Each request runner calls [requestGrant], and then either [withdraw] or [release].
 */
internal class GrantController(
    private val runtime: Runtime,
    private val peerClient: PeerClient,
    private val coordinator: CoordinatorController,
    private val sync: SyncController,
) {
    private val chooser = DomainChooser(runtime.settings.failureDomain)
    private val pendingRequests = HashMap<GrantKey, PendingRequest>()
    private val heldGrants = HashMap<GrantKey, HeldGrant>()
    private val changedDomains = HashSet<FailureDomain>()

    fun start() {
        runtime.timer.every(RENEWAL_MS) {
            publishHeldGrants()
            abandonLostCoordinators()
        }
    }

    fun update(digest: DomainDigest) = chooser.update(digest, runtime.nowMs)

    /** Requests a grant; [onReply] is called once, unless the request is withdrawn. */
    fun requestGrant(
        request: GrantRequest,
        onReply: (GrantReply) -> Unit,
    ) {
        val pending = PendingRequest(request, onReply)
        pendingRequests[request.key] = pending
        pending.tryNextDomain(null, DEFAULT_RETRY_MS)
    }

    fun withdraw(key: GrantKey) {
        pendingRequests.remove(key)?.withdraw()
    }

    fun release(
        grant: Grant,
        result: GrantResult,
    ) {
        val holding = heldGrants.remove(grant.key) ?: return
        changedDomains += holding.target.failureDomain
        release(holding.target, grant.key, result)
    }

    private fun release(
        target: DomainTarget,
        key: GrantKey,
        result: GrantResult,
    ) {
        if (target.coordinator == runtime.self) return coordinator.release(key, result)
        peerClient.call(target.address, PeerRoutes.releases, ReleaseMessage(key, result), RELEASE_TIMEOUT_MS) { }
    }

    /** Moves pending requests away from coordinators that were replaced or whose digests no longer arrive. */
    private fun abandonLostCoordinators() {
        if (pendingRequests.isEmpty()) return
        val current = chooser.digests(runtime.nowMs).associate { it.failureDomain to it.coordinator }
        pendingRequests.values.toList().forEach { it.reconsiderCoordinator(current) }
    }

    /** Synchronises the held grants of each failure domain where they changed; null when none are left. */
    private fun publishHeldGrants() {
        for (domain in changedDomains.toList()) {
            val grants = heldGrants.values.filter { it.target.failureDomain == domain }.map { it.grant }
            val payload =
                if (grants.isEmpty()) null else PeerJson.encodeToJsonElement(ListSerializer(Grant.serializer()), grants)
            sync.updateGrants(domain, payload)
        }
        changedDomains.clear()
    }

    private class HeldGrant(
        val grant: Grant,
        val target: DomainTarget,
    )

    /** A request that asks one coordinator after another until one grants it or none is left. */
    private inner class PendingRequest(
        private val request: GrantRequest,
        private val onReply: (GrantReply) -> Unit,
    ) {
        private val triedDomains = mutableListOf<FailureDomain>()
        private val startedMs = runtime.nowMs
        private var target: DomainTarget? = null
        private var call: ClientCall? = null

        fun tryNextDomain(
            lastReason: RefusalReason?,
            retryAfterMs: Long,
        ) {
            val next = chooser.next(request, triedDomains, runtime.nowMs)
            if (next == null) {
                pendingRequests.remove(request.key, this)
                return onReply(
                    GrantReply(reason = lastReason ?: RefusalReason.NO_UPSTREAM, retryAfterMs = retryAfterMs),
                )
            }
            triedDomains += next.failureDomain
            target = next
            val current =
                request.copy(
                    firstTokenRemainingMs = remaining(request.firstTokenRemainingMs),
                    remainingMs = remaining(request.remainingMs),
                )
            if (next.coordinator == runtime.self) return coordinator.requestGrant(current) { handleReply(next, it) }
            call =
                peerClient.call(
                    next.address,
                    PeerRoutes.grants,
                    current,
                    current.remainingMs + ANSWER_MARGIN_MS,
                ) { result ->
                    result.fold(
                        { handleReply(next, it) },
                        { tryNextDomain(RefusalReason.NOT_COORDINATOR, DEFAULT_RETRY_MS) },
                    )
                }
        }

        /** Tries the next failure domain if the asked coordinator is gone, or another domain would be faster. */
        fun reconsiderCoordinator(coordinators: Map<FailureDomain, InstanceId?>) {
            val asked = target ?: return
            val isLost = coordinators[asked.failureDomain] != asked.coordinator
            if (!isLost && !isFasterElsewhere()) return
            withdraw()
            tryNextDomain(if (isLost) RefusalReason.NOT_COORDINATOR else RefusalReason.TOO_LATE, DEFAULT_RETRY_MS)
        }

        /** True when another failure domain predicts a time to first token shorter than the time already waited. */
        private fun isFasterElsewhere(): Boolean {
            val waitedMs = runtime.nowMs - startedMs
            if (waitedMs < MIN_WAIT_BEFORE_SWITCH_MS) return false
            val other = chooser.next(request, triedDomains, runtime.nowMs) ?: return false
            return other.digest.firstTokenMs < waitedMs
        }

        fun withdraw() {
            val asked = target ?: return
            call?.cancel()
            if (asked.coordinator == runtime.self) {
                coordinator.withdraw(request.key)
            } else {
                release(asked, request.key, GrantResult(GrantEnding.UNUSED))
            }
        }

        private fun handleReply(
            from: DomainTarget,
            reply: GrantReply,
        ) {
            if (pendingRequests[request.key] !== this) return
            val grant = reply.grant
            if (grant == null) return tryNextDomain(reply.reason, reply.retryAfterMs)
            pendingRequests.remove(request.key)
            heldGrants[grant.key] = HeldGrant(grant, from)
            changedDomains += from.failureDomain
            onReply(reply)
        }

        private fun remaining(durationMs: Long) = maxOf(0, durationMs - (runtime.nowMs - startedMs))
    }

    private companion object {
        const val RENEWAL_MS = 250L
        const val RELEASE_TIMEOUT_MS = 2_000L
        const val DEFAULT_RETRY_MS = 1_000L

        /**
         * A request that has waited this long may move to another failure domain. When an upstream refuses everything,
         * its queue does not advance, and the prediction of that queue does not account for it.
         */
        const val MIN_WAIT_BEFORE_SWITCH_MS = 500L
        const val ANSWER_MARGIN_MS = 1_000L
    }
}
