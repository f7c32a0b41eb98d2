package samphirechute.state.sync

import kotlinx.serialization.json.JsonElement
import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import samphirechute.state.command.DrainTarget
import samphirechute.state.drain.DrainInput
import samphirechute.state.drain.DrainOutput
import samphirechute.state.drain.Drains
import samphirechute.state.lease.LeaseHolder
import kotlin.random.Random

/**
 * The pairwise synchronisation of one instance with the others: the configuration in force, drains, the digests of
 * failure domains, the members of the own one, and the grants held. Every message tells versions, and carries what
 * the other side lacks of them; a change is also passed on at once.
 */
class SyncNode(
    private val settings: SyncSettings,
    private val random: Random,
) {
    private val drains = Drains(random)
    private val state = SyncState(settings, drains)
    private val peers = PeerTable(settings, random)
    private val reports = ReportBuffer()
    private val grants = mutableMapOf<FailureDomain, JsonElement?>()
    private val readiness =
        Readiness(peers.all.filter { it.isHome || it.peer.isStore }.mapTo(mutableSetOf()) { it.instance })
    private var holder: LeaseHolder? = null
    private var digestSequence = 0L
    private var nextPeriodMs: Long? = null
    private var nextRandomMs = 0L

    /** The configuration in force; revision 0 before any is known. */
    val configuration: Configuration get() = state.configuration.current

    /** True when this instance has asked for the highest revision and may take requests. */
    val isReady: Boolean get() = readiness.isReady

    /** Everything out of service, as this instance knows it. */
    val drainedTargets: Set<DrainTarget> get() = drains.targets

    /** Drain orders given during a partition that the log does not have yet. */
    val pendingDrains get() = drains.pending

    val drainVersion: Long get() = drains.record.version

    /** The members of the own failure domain that were ever seen. */
    val members: List<Member> get() = state.members.members

    /** The digests that are fresh, with their age. */
    fun digests(nowMs: Long): List<DomainDigest> = state.digests.all(nowMs).filter { it.ageMs < DIGEST_FRESH_MS }

    fun handle(
        input: SyncInput,
        nowMs: Long,
    ): List<SyncOutput> {
        val outputs = mutableListOf<SyncOutput>()
        state.members.advance(nowMs).mapTo(outputs) { SyncOutput.MemberChanged(it) }
        if (state.digests.expire(nowMs)) outputs += SyncOutput.DigestsChanged(state.digests.all(nowMs))
        when (input) {
            SyncInput.Ticked -> onTick(nowMs, outputs)
            is SyncInput.Received -> onMessage(input.message, nowMs, outputs)
            is SyncInput.Failed -> onFailed(input.to, nowMs, outputs)
            is SyncInput.ConfigurationCommitted -> onCommitted(input.configuration, nowMs, outputs)
            is SyncInput.StoreCurrencyChanged -> state.isStoreCurrent = input.isCurrent
            is SyncInput.DrainEvent -> onDrains(input.input, nowMs, outputs)
            is SyncInput.CoordinatorChanged -> onCoordinator(input.holder, nowMs, outputs)
            is SyncInput.DigestChanged -> onDigest(input.payload, nowMs, outputs)
            is SyncInput.GrantsChanged -> onGrants(input)
            is SyncInput.UpstreamReported -> onReport(input, nowMs, outputs)
            SyncInput.Leaving -> onLeaving(nowMs, outputs)
        }
        if (readiness.check(nowMs)) outputs += SyncOutput.Ready
        return outputs
    }

    private val PeerState.isHome: Boolean get() = peer.failureDomain == settings.failureDomain

    private val coordinator: InstanceId?
        get() = holder?.instance ?: state.digests.get(settings.failureDomain)?.coordinator

    private val isCoordinator: Boolean get() = holder?.instance == settings.self

    private fun onTick(
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        if (nextPeriodMs == null) {
            state.beat()
            nextPeriodMs = nowMs + random.nextLong(COORDINATOR_PERIOD_MS)
            nextRandomMs = nowMs + random.nextLong(RANDOM_PERIOD_MS)
        }
        onDrains(DrainInput.Ticked, nowMs, outputs)
        peers.all.filter { it.isOverdue(nowMs) }.forEach { onFailed(it.instance, nowMs, outputs) }
        readiness.dueAsks(nowMs).mapNotNull { peers[it] }.forEach { ask(it, nowMs, outputs) }
        if (nowMs >= nextPeriodMs!!) {
            nextPeriodMs = nowMs + COORDINATOR_PERIOD_MS
            syncPeriodically(nowMs, outputs)
        }
        if (nowMs >= nextRandomMs) {
            nextRandomMs = nowMs + RANDOM_PERIOD_MS
            peers.choose(peers.all)?.let { ask(it, nowMs, outputs) }
        }
    }

    private fun syncPeriodically(
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        state.beat()?.let { outputs += SyncOutput.MemberChanged(it) }
        if (isCoordinator) {
            outputs += SyncOutput.GrantsHeld(settings.self, grants[settings.failureDomain])
            syncAsCoordinator(nowMs, outputs)
        } else {
            val target = coordinator?.let { peers[it] } ?: peers.choose(peers.all.filter { it.isHome })
            target?.let { ask(it, nowMs, outputs) }
        }
        for ((domain, held) in grants) {
            if (domain == settings.failureDomain || held == null) continue
            val target = state.digests.get(domain)?.let { peers[it.coordinator] } ?: continue
            if (target.askedMs != nowMs) ask(target, nowMs, outputs)
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
        val stores = peers.stores()
        if (stores.none { it.isRecent(nowMs) || it.askedMs == nowMs }) {
            peers.choose(stores)?.let { ask(it, nowMs, outputs) }
        }
    }

    private fun onMessage(
        message: SyncMessage,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val peer = peers[message.sender.instance] ?: return
        peer.note(message.sender)
        message.data.heartbeats.forEach { (id, it) -> peer.toldHeartbeats.merge(id, it, ::maxOf) }
        val absorbed = state.absorb(message, peer.isHome, nowMs)
        outputs += absorbed.outputs
        state.refreshOwnRow()?.let { outputs += SyncOutput.MemberChanged(it) }
        when (message) {
            is SyncMessage.Ask -> onAsk(message, peer, nowMs, outputs)
            is SyncMessage.Reply -> onReply(message, peer, nowMs, outputs)
            is SyncMessage.Push -> onPush(message, peer, nowMs, outputs)
        }
        if (absorbed.isNews) push(peer, nowMs, outputs)
    }

    private fun onAsk(
        ask: SyncMessage.Ask,
        peer: PeerState,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        peer.lastExchangeMs = nowMs
        val held = ask.grants
        if (held != null && isCoordinator && ask.sender.heartbeat > peer.grantsHeartbeat) {
            peer.grantsHeartbeat = ask.sender.heartbeat
            outputs += SyncOutput.GrantsHeld(peer.instance, held.payload)
        }
        val data = state.lackedBy(peer, nowMs, withDigests = true)
        noteTold(peer, data)
        outputs += SyncOutput.Answer(SyncMessage.Reply(state.sender(), data))
        // The sender has something that this instance lacks.
        val isBehind =
            state.configuration.revision < ask.sender.revision || drains.record.version < ask.sender.drainVersion
        if (isBehind && peer.askedMs == null) ask(peer, nowMs, outputs)
    }

    private fun onReply(
        reply: SyncMessage.Reply,
        peer: PeerState,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        peer.lastExchangeMs = nowMs
        peer.askedMs = null
        peer.failures = 0
        val isCaughtUp = state.configuration.revision >= reply.sender.revision
        readiness.onAnswer(peer.instance, isCaughtUp && (reply.sender.revision > 0 || reply.sender.isStoreCurrent))
        val lacked = state.lackedBy(peer, nowMs, withDigests = false).copy(heartbeats = emptyMap())
        if (lacked != SyncData()) outputs += SyncOutput.Send(peer.instance, SyncMessage.Push(state.sender(), lacked))
    }

    private fun onPush(
        push: SyncMessage.Push,
        peer: PeerState,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        // The update started at a revision that is not reached here.
        if (state.configuration.revision < push.sender.revision) ask(peer, nowMs, outputs)
    }

    private fun onFailed(
        to: InstanceId,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val peer = peers[to] ?: return
        if (peer.askedMs == null) return
        peer.noteFailure()
        readiness.onFailure(to)
        // Another path to the own domain, so that a coordinator that cannot be reached does not hide this instance.
        if (to == coordinator) {
            peers
                .choose(
                    peers.all.filter { it.isHome && it != peer && it.askedMs == null },
                )?.let { ask(it, nowMs, outputs) }
        }
    }

    private fun onCommitted(
        configuration: Configuration,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        if (!state.configuration.apply(configuration)) return
        outputs += SyncOutput.ConfigurationApplied(state.configuration.current)
        state.refreshOwnRow()?.let { outputs += SyncOutput.MemberChanged(it) }
        push(null, nowMs, outputs)
    }

    private fun onDrains(
        input: DrainInput,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val drainOutputs = drains.handle(input, nowMs)
        drainOutputs.mapNotNullTo(outputs) { it.toSyncOutput() }
        if (DrainOutput.Spread in drainOutputs) push(null, nowMs, outputs)
    }

    private fun onCoordinator(
        newHolder: LeaseHolder?,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val isNew = newHolder != null && newHolder.epoch != holder?.epoch
        holder = newHolder
        if (!isNew) return
        digestSequence = 0
        // The new coordinator learns the held grants and the upstreams at once, since it gives no grant before.
        if (!isCoordinator) peers[newHolder.instance]?.let { ask(it, nowMs, outputs) }
        val fresh = reports.fresh(nowMs)
        if (fresh.isNotEmpty()) outputs += SyncOutput.ForwardReports(newHolder.instance, fresh)
    }

    private fun onDigest(
        payload: JsonElement,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val self = holder?.takeIf { isCoordinator } ?: return
        val digest =
            DomainDigest(settings.failureDomain, self.epoch, ++digestSequence, self.instance, self.address, payload)
        if (state.digests.put(digest, nowMs)) outputs += SyncOutput.DigestsChanged(state.digests.all(nowMs))
    }

    private fun onGrants(input: SyncInput.GrantsChanged) {
        grants[input.failureDomain] = input.payload
    }

    private fun onReport(
        input: SyncInput.UpstreamReported,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        reports.put(input.upstream, input.report, nowMs)
        coordinator?.let { outputs += SyncOutput.ForwardReports(it, listOf(input.report)) }
    }

    private fun onLeaving(
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        state.isLeaving = true
        state.refreshOwnRow()?.let { outputs += SyncOutput.MemberChanged(it) }
        push(null, nowMs, outputs)
    }

    private fun ask(
        peer: PeerState,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val held = heldGrantsFor(peer)
        if (held != null) state.beat()
        var data = state.lackedBy(peer, nowMs, withDigests = false)
        if (isCoordinator) data = data.copy(digests = state.ownDigestFor(peer, nowMs))
        noteTold(peer, data)
        peer.askedMs = nowMs
        outputs += SyncOutput.Send(peer.instance, SyncMessage.Ask(state.sender(), data, held))
    }

    private fun heldGrantsFor(peer: PeerState): HeldGrants? {
        val domain = peer.peer.failureDomain
        val isItsCoordinator =
            peer.instance == (if (peer.isHome) coordinator else state.digests.get(domain)?.coordinator)
        return if (isItsCoordinator && (peer.isHome || grants[domain] != null)) HeldGrants(grants[domain]) else null
    }

    private fun noteTold(
        peer: PeerState,
        data: SyncData,
    ) = data.heartbeats.forEach { (id, it) -> peer.toldHeartbeats.merge(id, it, ::maxOf) }

    /** Passes a change on to the coordinators and to a few others, but not to [source]. */
    private fun push(
        source: PeerState?,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val coordinators = state.digests.all(nowMs).mapTo(mutableSetOf()) { it.coordinator }
        coordinator?.let { coordinators += it }
        val targets = peers.all.filter { it.instance in coordinators && (isCoordinator || it.isHome) }
        val others = peers.sample(peers.all.filter { it != source }, PUSH_FAN_OUT)
        for (peer in (targets + others).distinct() - listOfNotNull(source)) {
            val data = state.lackedBy(peer, nowMs, withDigests = false)
            if (peer.known == null || data == SyncData()) continue
            outputs += SyncOutput.Send(peer.instance, SyncMessage.Push(state.sender(), data))
        }
    }
}

private fun PeerState.isOverdue(nowMs: Long) = askedMs?.let { nowMs - it >= ASK_TIMEOUT_MS } == true
