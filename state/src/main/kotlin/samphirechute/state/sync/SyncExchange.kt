package samphirechute.state.sync

import kotlinx.serialization.json.JsonElement
import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId

/** Sends the messages of one instance: the periodic ones, substitutes for those that fail, and changes at once. */
internal class SyncExchange(
    private val settings: SyncSettings,
    private val state: SyncState,
    private val peers: PeerTable,
) {
    private val grants = mutableMapOf<FailureDomain, JsonElement?>()
    private val pushed = mutableSetOf<PeerState>()
    private var newsMs: Long? = null

    /** The coordinator of the own failure domain, as far as it is known. */
    var coordinator: InstanceId? = null

    val isCoordinator: Boolean get() = coordinator == settings.self

    fun heldGrants(failureDomain: FailureDomain): JsonElement? = grants[failureDomain]

    fun hold(
        failureDomain: FailureDomain,
        payload: JsonElement?,
    ) {
        grants[failureDomain] = payload
    }

    /** The exchanges of one period of [COORDINATOR_PERIOD_MS]. */
    fun syncPeriodically(
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        if (isCoordinator) {
            syncAsCoordinator(nowMs, outputs)
        } else {
            val target = coordinator?.let { peers[it] } ?: peers.choose(home())
            target?.let { ask(it, nowMs, outputs) }
        }
        for ((domain, held) in grants) {
            if (domain == settings.failureDomain || held == null) continue
            val target = state.digests.get(domain)?.let { peers[it.coordinator] } ?: continue
            if (target.askedMs != nowMs) ask(target, nowMs, outputs)
        }
        val isRepairing = newsMs?.let { nowMs - it < REPAIR_MS } == true
        if (isRepairing) pushTo(peers.sample(peers.all - pushed, REPAIR_FAN_OUT), nowMs, outputs)
    }

    fun syncRandomly(
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val peer = peers.choose(peers.all) ?: return
        ask(peer, nowMs, outputs)
        peer.substitutesLeft = SUBSTITUTES
    }

    fun onFailed(
        peer: PeerState,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        peer.noteFailure()
        val left = peer.substitutesLeft
        peer.substitutesLeft = 0
        // Another path to the own domain, so that a coordinator that cannot be reached does not hide this instance.
        val candidates = if (peer.instance == coordinator) home() else peers.all
        if (peer.instance != coordinator && left == 0) return
        val substitute = peers.choose(candidates.filter { it != peer && it.askedMs == null }) ?: return
        ask(substitute, nowMs, outputs)
        substitute.substitutesLeft = (left - 1).coerceAtLeast(0)
    }

    fun ask(
        peer: PeerState,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val held = heldGrantsFor(peer)
        if (held != null) state.beat()
        var data = state.lackedBy(peer, nowMs)
        if (isCoordinator) data = data.copy(digests = state.ownDigestFor(peer, nowMs))
        if (peer.isHome) data = data.copy(heartbeats = state.heartbeatsFor(peer, nowMs))
        peer.askedMs = nowMs
        val message = SyncMessage.Ask(state.sender(), data, held, state.wantedDigests(peer, coordinator, nowMs))
        peer.noteTold(state.rowsOf(message))
        outputs += SyncOutput.Send(peer.instance, message)
    }

    /** Passes a change on to the coordinators and to a few others, but not to [source]. */
    fun pushNews(
        source: PeerState?,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        newsMs = nowMs
        pushed.clear()
        source?.let { pushed += it }
        val coordinators = state.digests.coordinators + setOfNotNull(coordinator)
        val targets = peers.all.filter { it.instance in coordinators && (isCoordinator || it.isHome) }
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
            val data = state.lackedBy(peer, nowMs)
            if (data == SyncData()) continue
            outputs += SyncOutput.Send(peer.instance, SyncMessage.Push(state.sender(), data))
        }
    }

    private fun syncAsCoordinator(
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val others = peers.all.filterNot { it.isHome }.groupBy { it.peer.failureDomain }
        for ((domain, candidates) in others) {
            val target = state.digests.get(domain)?.let { peers[it.coordinator] } ?: peers.choose(candidates)
            if (target != null && !target.isRecent(nowMs)) ask(target, nowMs, outputs)
        }
        val stores = peers.all.filter { it.peer.isStore }
        if (stores.none { it.isRecent(nowMs) || it.askedMs == nowMs }) {
            peers.choose(stores)?.let { ask(it, nowMs, outputs) }
        }
    }

    private fun heldGrantsFor(peer: PeerState): HeldGrants? {
        val domain = peer.peer.failureDomain
        val isItsCoordinator =
            peer.instance == (if (peer.isHome) coordinator else state.digests.get(domain)?.coordinator)
        return if (isItsCoordinator && (peer.isHome || grants[domain] != null)) HeldGrants(grants[domain]) else null
    }

    private fun home() = peers.all.filter { it.isHome }

    private val PeerState.isHome: Boolean get() = peer.failureDomain == settings.failureDomain
}
