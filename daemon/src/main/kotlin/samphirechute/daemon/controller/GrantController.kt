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

/** Asks coordinators for grants on behalf of the requests of this instance, and keeps those it holds renewed. */
internal class GrantController(
    private val runtime: Runtime,
    private val peerClient: PeerClient,
    private val coordinator: CoordinatorController,
    private val sync: SyncController,
) {
    private val chooser = DomainChooser(runtime.settings.failureDomain)
    private val asks = HashMap<GrantKey, Ask>()
    private val held = HashMap<GrantKey, Held>()
    private val changed = HashSet<FailureDomain>()

    fun start() {
        runtime.timer.every(RENEWAL_MS) {
            tellHeldGrants()
            leaveLostCoordinators()
        }
    }

    fun update(digest: DomainDigest) = chooser.update(digest, runtime.nowMs)

    /** Asks for a grant; [onReply] is called once, unless the request is withdrawn. */
    fun ask(
        request: GrantRequest,
        onReply: (GrantReply) -> Unit,
    ) {
        val ask = Ask(request, onReply)
        asks[request.key] = ask
        ask.askNext(null, DEFAULT_RETRY_MS)
    }

    fun withdraw(key: GrantKey) {
        asks.remove(key)?.withdraw()
    }

    fun release(
        grant: Grant,
        result: GrantResult,
    ) {
        val holding = held.remove(grant.key) ?: return
        changed += holding.target.failureDomain
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

    /** A request does not wait for a coordinator that has been replaced or is not heard of any more. */
    private fun leaveLostCoordinators() {
        if (asks.isEmpty()) return
        val current = chooser.digests(runtime.nowMs).associate { it.failureDomain to it.coordinator }
        asks.values.toList().forEach { it.leaveUnless(current) }
    }

    private fun tellHeldGrants() {
        for (domain in changed.toList()) {
            val grants = held.values.filter { it.target.failureDomain == domain }.map { it.grant }
            val payload =
                if (grants.isEmpty()) null else PeerJson.encodeToJsonElement(ListSerializer(Grant.serializer()), grants)
            sync.grantsChanged(domain, payload)
        }
        changed.clear()
    }

    private class Held(
        val grant: Grant,
        val target: DomainTarget,
    )

    /** One request on its way through the coordinators that may grant it. */
    private inner class Ask(
        private val request: GrantRequest,
        private val onReply: (GrantReply) -> Unit,
    ) {
        private val tried = mutableListOf<FailureDomain>()
        private val startedMs = runtime.nowMs
        private var target: DomainTarget? = null
        private var call: ClientCall? = null

        fun askNext(
            lastReason: RefusalReason?,
            retryAfterMs: Long,
        ) {
            val next = chooser.next(request, tried, runtime.nowMs)
            if (next == null) {
                asks.remove(request.key, this)
                return onReply(
                    GrantReply(reason = lastReason ?: RefusalReason.NO_UPSTREAM, retryAfterMs = retryAfterMs),
                )
            }
            tried += next.failureDomain
            target = next
            val current =
                request.copy(
                    firstTokenRemainingMs = left(request.firstTokenRemainingMs),
                    remainingMs = left(request.remainingMs),
                )
            if (next.coordinator == runtime.self) return coordinator.ask(current) { answered(next, it) }
            call =
                peerClient.call(
                    next.address,
                    PeerRoutes.grants,
                    current,
                    current.remainingMs + ANSWER_MARGIN_MS,
                ) { result ->
                    result.fold({ answered(next, it) }, { askNext(RefusalReason.NOT_COORDINATOR, DEFAULT_RETRY_MS) })
                }
        }

        fun leaveUnless(coordinators: Map<FailureDomain, InstanceId?>) {
            val asked = target ?: return
            val isLost = coordinators[asked.failureDomain] != asked.coordinator
            if (!isLost && !isFasterElsewhere()) return
            withdraw()
            askNext(if (isLost) RefusalReason.NOT_COORDINATOR else RefusalReason.TOO_LATE, DEFAULT_RETRY_MS)
        }

        /** True when another failure domain predicts a first token sooner than this request has already waited. */
        private fun isFasterElsewhere(): Boolean {
            val waitedMs = runtime.nowMs - startedMs
            if (waitedMs < PATIENCE_MS) return false
            val other = chooser.next(request, tried, runtime.nowMs) ?: return false
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

        private fun answered(
            from: DomainTarget,
            reply: GrantReply,
        ) {
            if (asks[request.key] !== this) return
            val grant = reply.grant
            if (grant == null) return askNext(reply.reason, reply.retryAfterMs)
            asks.remove(request.key)
            held[grant.key] = Held(grant, from)
            changed += from.failureDomain
            onReply(reply)
        }

        private fun left(durationMs: Long) = maxOf(0, durationMs - (runtime.nowMs - startedMs))
    }

    private companion object {
        const val RENEWAL_MS = 250L
        const val RELEASE_TIMEOUT_MS = 2_000L
        const val DEFAULT_RETRY_MS = 1_000L

        /** An upstream that refuses everything keeps its queue waiting; the queue's own prediction does not see it. */
        const val PATIENCE_MS = 500L
        const val ANSWER_MARGIN_MS = 1_000L
    }
}
