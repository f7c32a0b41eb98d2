package samphirechute.state.sync

import kotlinx.serialization.json.JsonElement
import samphirechute.core.InstanceId
import samphirechute.state.SteppedClock
import samphirechute.state.command.DrainTarget
import samphirechute.state.drain.DrainInput
import samphirechute.state.drain.DrainOutput
import samphirechute.state.drain.DrainTracker
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
    private val drains = DrainTracker(random)
    private val state = SyncState(settings, drains)
    private val peers = PeerTable(settings, random)
    private val exchange = SyncExchange(settings, state, peers)
    private val reports = ReportBuffer()
    private val clock = SteppedClock()
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

    internal val drainEntries get() = drains.entries.toList()

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
        clock.advance(nowMs)
        if (state.digests.expire(nowMs)) outputs += SyncOutput.DigestsChanged(state.digests.all(nowMs))
        updateCoordinator()
        when (input) {
            SyncInput.Ticked -> onTick(nowMs, outputs)
            is SyncInput.Received -> onMessage(input.message, nowMs, outputs)
            is SyncInput.Failed -> onFailed(input.to, nowMs, outputs)
            is SyncInput.ConfigurationCommitted -> onCommitted(input.configuration, nowMs, outputs)
            is SyncInput.StoreReadabilityChanged -> onStoreCurrency(input.isCurrent)
            is SyncInput.DrainEvent -> onDrains(input.input, nowMs, outputs)
            is SyncInput.CoordinatorChanged -> onCoordinator(input.holder, nowMs, outputs)
            is SyncInput.DigestChanged -> onDigest(input.payload, nowMs, outputs)
            is SyncInput.GrantsChanged -> exchange.hold(input.failureDomain, input.payload)
            is SyncInput.UpstreamReported -> onReport(input, nowMs, outputs)
            SyncInput.Leaving -> onLeaving(nowMs, outputs)
        }
        if (readiness.check(clock.elapsedMs)) outputs += SyncOutput.Ready
        return outputs
    }

    private val PeerState.isHome: Boolean get() = peer.failureDomain == settings.failureDomain

    private val coordinator: InstanceId? get() = exchange.coordinator

    private val isCoordinator: Boolean get() = exchange.isCoordinator

    /** The lease is the better source; an instance that cannot reach the voters learns from the digest. */
    private fun updateCoordinator() {
        val told = state.digests.get(settings.failureDomain)?.coordinator
        exchange.coordinator = holder?.instance ?: told.takeIf { it != settings.self }
    }

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
        readiness.dueAsks(clock.elapsedMs).mapNotNull { peers[it] }.forEach { exchange.ask(it, nowMs, outputs) }
        if (nowMs >= nextPeriodMs!!) {
            nextPeriodMs = nowMs + COORDINATOR_PERIOD_MS
            state.beat()?.let { outputs += SyncOutput.MemberChanged(it) }
            if (isCoordinator) {
                outputs += SyncOutput.GrantsReported(settings.self, exchange.heldGrants(settings.failureDomain))
            }
            exchange.syncPeriodically(nowMs, outputs)
        }
        if (nowMs >= nextRandomMs) {
            nextRandomMs = nowMs + RANDOM_PERIOD_MS
            exchange.syncRandomly(nowMs, outputs)
        }
    }

    private fun onMessage(
        message: SyncMessage,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val peer = peers[message.sender.instance] ?: return
        peer.note(message.sender)
        val absorbed = state.absorb(message, peer.isHome, nowMs)
        peer.noteTold(state.rowsOf(message))
        outputs += absorbed.outputs
        state.refreshOwnRow()?.let { outputs += SyncOutput.MemberChanged(it) }
        when (message) {
            is SyncMessage.Ask -> onAsk(message, peer, nowMs, outputs)
            is SyncMessage.Reply -> onReply(message, peer, nowMs, outputs)
            is SyncMessage.Push -> onPush(message, peer, nowMs, outputs)
        }
        if (absorbed.isNews) exchange.pushNews(peer, nowMs, outputs)
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
            outputs += SyncOutput.GrantsReported(peer.instance, held.payload)
        }
        var data = state.lackedBy(peer, nowMs, ask.wantedDigests)
        if (ask.wantsHeartbeats) data = data.copy(heartbeats = state.heartbeatsFor(peer, minAdvance = 1))
        outputs += SyncOutput.Answer(SyncMessage.Reply(state.sender(), data))
        // The sender has something that this instance lacks.
        val isBehind =
            state.configuration.revision < ask.sender.revision || drains.record.version < ask.sender.drainVersion
        if (isBehind && peer.askedMs == null) exchange.ask(peer, nowMs, outputs)
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
        val lacked = state.lackedBy(peer, nowMs)
        if (lacked != SyncData()) outputs += SyncOutput.Send(peer.instance, SyncMessage.Push(state.sender(), lacked))
    }

    private fun onPush(
        push: SyncMessage.Push,
        peer: PeerState,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        // The update started at a revision that is not reached here.
        if (state.configuration.revision < push.sender.revision) exchange.ask(peer, nowMs, outputs)
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
                )?.let { exchange.ask(it, nowMs, outputs) }
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
        exchange.pushNews(null, nowMs, outputs)
    }

    private fun onStoreCurrency(isCurrent: Boolean) {
        state.isStoreCurrent = isCurrent
        // The own copy of the log answers as well as that of another store member.
        if (isCurrent) readiness.onAnswer(settings.self, isSufficient = true)
    }

    private fun onDrains(
        input: DrainInput,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val drainOutputs = drains.handle(input, nowMs)
        drainOutputs.mapNotNullTo(outputs) { it.toSyncOutput() }
        if (DrainOutput.Spread in drainOutputs) exchange.pushNews(null, nowMs, outputs)
    }

    private fun onCoordinator(
        newHolder: LeaseHolder?,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val isNew = newHolder != null && newHolder.epoch != holder?.epoch
        holder = newHolder
        updateCoordinator()
        if (!isNew) return
        digestSequence = 0
        // The new coordinator learns the held grants and the upstreams at once, since it gives no grant before.
        if (!isCoordinator) peers[newHolder.instance]?.let { exchange.ask(it, nowMs, outputs) }
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
        exchange.pushNews(null, nowMs, outputs)
    }
}

private fun PeerState.isOverdue(nowMs: Long) = askedMs?.let { nowMs - it >= ASK_TIMEOUT_MS } == true
