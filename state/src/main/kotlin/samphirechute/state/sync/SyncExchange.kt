package samphirechute.state.sync

import kotlinx.serialization.json.JsonElement
import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId

/**
 * Sends the sync messages of one [SyncNode]: periodic requests, requests in place of those that failed, and changes as
 * soon as they happen. It owns the grants that this instance holds and the state of the latest change.
 */
internal class SyncExchange(
    private val settings: SyncSettings,
    private val state: SyncState,
    private val peers: PeerTable,
) {
    private val grants = mutableMapOf<FailureDomain, JsonElement?>()

    /** The peers that the latest change was sent to or came from. */
    private val pushed = mutableSetOf<PeerState>()
    private var lastChangeMs: Long? = null

    /** The coordinator of the own failure domain, or null when none is known. */
    var coordinator: InstanceId? = null

    val isCoordinator: Boolean get() = coordinator == settings.self

    /** The grants that this instance holds from the coordinator of [failureDomain]; null when there are none. */
    fun heldGrants(failureDomain: FailureDomain): JsonElement? = grants[failureDomain]

    fun setHeldGrants(
        failureDomain: FailureDomain,
        payload: JsonElement?,
    ) {
        grants[failureDomain] = payload
    }

    /**
     * Sends the requests of one period of [COORDINATOR_PERIOD_MS].
     *
     * An instance asks its coordinator, or any peer of its failure domain while none is known. The coordinator asks the
     * other failure domains and a store member. Then every instance asks the coordinators of other domains whose grants
     * it holds, unless they were asked just before. Last, a recent change goes to peers that have not been sent it.
     */
    fun syncPeriodically(
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        if (isCoordinator) {
            syncAsCoordinator(nowMs, outputs)
        } else {
            val target = coordinator?.let { peers[it] } ?: peers.choose(ownDomainPeers())
            target?.let { sendRequest(it, nowMs, outputs) }
        }
        for ((domain, held) in grants) {
            if (domain == settings.failureDomain || held == null) continue
            val target = state.digests.get(domain)?.let { peers[it.coordinator] } ?: continue
            if (target.pendingSinceMs != nowMs) sendRequest(target, nowMs, outputs)
        }
        val isRepairing = lastChangeMs?.let { nowMs - it < REPAIR_MS } == true
        if (isRepairing) pushTo(peers.sample(peers.all - pushed, REPAIR_FAN_OUT), nowMs, outputs)
    }

    /** Sends the request of one period of [RANDOM_PERIOD_MS] to any peer. */
    fun syncRandomly(
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val peer = peers.choose(peers.all) ?: return
        sendRequest(peer, nowMs, outputs)
        peer.substitutesLeft = MAX_SUBSTITUTES
    }

    /**
     * Records a failed request and asks another peer instead. Nothing calls this now: [SyncNode] handles failures
     * itself, and sends no substitute for a random peer.
     */
    fun onFailed(
        peer: PeerState,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        peer.recordFailure()
        val left = peer.substitutesLeft
        peer.substitutesLeft = 0
        // The coordinator must learn of this instance by another path when it can't be reached directly.
        val candidates = if (peer.instance == coordinator) ownDomainPeers() else peers.all
        if (peer.instance != coordinator && left == 0) return
        val substitute = peers.choose(candidates.filter { it != peer && it.pendingSinceMs == null }) ?: return
        sendRequest(substitute, nowMs, outputs)
        substitute.substitutesLeft = (left - 1).coerceAtLeast(0)
    }

    /**
     * Sends a request with what [peer] lacks. The heartbeat is advanced before a message with held grants, so that the
     * coordinator can recognise a message that arrives late or twice.
     */
    fun sendRequest(
        peer: PeerState,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val held = heldGrantsFor(peer)
        if (held != null) state.advanceHeartbeat()
        var data = state.updatesFor(peer, nowMs)
        if (isCoordinator) data = data.copy(digests = state.ownDigestFor(peer, nowMs))
        // Covers a member that reaches this instance but not the coordinator.
        val isToCoordinator = peer.instance == coordinator
        if (isToCoordinator) data = data.copy(heartbeats = state.heartbeatsFor(peer, MIN_HEARTBEAT_ADVANCE))
        peer.pendingSinceMs = nowMs
        val message =
            SyncMessage.Request(
                state.sender(),
                data,
                held,
                state.requestedDigests(peer, coordinator, nowMs),
                state.requestsHeartbeats(peer, nowMs),
            )
        outputs += SyncOutput.Send(peer.instance, message)
    }

    /**
     * Sends a change at once to the own coordinator, or from a coordinator to all others, and to [PUSH_FAN_OUT] random
     * peers, but not to [source].
     */
    fun pushChange(
        source: PeerState?,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        lastChangeMs = nowMs
        pushed.clear()
        source?.let { pushed += it }
        val coordinators = state.digests.coordinators + setOfNotNull(coordinator)
        val targets = peers.all.filter { it.instance in coordinators && (isCoordinator || it.isOwnDomain) }
        val others = peers.sample(peers.all - pushed - targets.toSet(), PUSH_FAN_OUT)
        pushTo((targets - pushed) + others, nowMs, outputs)
    }

    private fun pushTo(
        targets: Collection<PeerState>,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        for (peer in targets) {
            pushed += peer
            val data = state.updatesFor(peer, nowMs)
            if (data == SyncData()) continue
            outputs += SyncOutput.Send(peer.instance, SyncMessage.Push(state.sender(), data))
        }
    }

    private fun syncAsCoordinator(
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val others = peers.all.filterNot { it.isOwnDomain }.groupBy { it.peer.failureDomain }
        for ((domain, candidates) in others) {
            val target = state.digests.get(domain)?.let { peers[it.coordinator] } ?: peers.choose(candidates)
            if (target != null && !target.isRecent(nowMs)) sendRequest(target, nowMs, outputs)
        }
        val stores = peers.all.filter { it.peer.isStore }
        if (stores.none { it.isRecent(nowMs) || it.pendingSinceMs == nowMs }) {
            peers.choose(stores)?.let { sendRequest(it, nowMs, outputs) }
        }
    }

    /** The grants to report to [peer] when it is the coordinator that gave them; null when there are none to report. */
    private fun heldGrantsFor(peer: PeerState): HeldGrants? {
        val domain = peer.peer.failureDomain
        val isRecipient =
            peer.instance == (if (peer.isOwnDomain) coordinator else state.digests.get(domain)?.coordinator)
        return if (isRecipient && (peer.isOwnDomain || grants[domain] != null)) HeldGrants(grants[domain]) else null
    }

    private fun ownDomainPeers() = peers.all.filter { it.isOwnDomain }

    private val PeerState.isOwnDomain: Boolean get() = peer.failureDomain == settings.failureDomain
}
