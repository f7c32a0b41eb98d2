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
 * Synchronises one instance with the others by messages between pairs of instances: the configuration in force, drains,
 * the digests of all failure domains, the members of the own one, and the grants held.
 *
 * Every message contains the versions of the sender's data and what the receiver lacks of it. A change is also sent to
 * other instances as soon as it happens.
 *
 * It is a state machine without threads, network or clock: the caller, which is the sync controller of the daemon,
 * passes inputs with the current time to [handle] and carries out the returned outputs. It owns the synchronised data
 * in [SyncState] and the state of each peer.
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
        Readiness(peers.all.filter { it.isOwnDomain || it.peer.isStore }.mapTo(mutableSetOf()) { it.instance })
    private var holder: LeaseHolder? = null
    private var digestSequence = 0L
    private var nextPeriodMs: Long? = null
    private var nextRandomMs = 0L

    /** The configuration in force, which has revision 0 until one is known. */
    val configuration: Configuration get() = state.configuration.current

    /** Whether this instance has asked for the highest revision and may accept requests. */
    val isReady: Boolean get() = readiness.isReady

    /** Everything that is out of service, as this instance knows it. */
    val drainedTargets: Set<DrainTarget> get() = drains.targets

    /** Drain orders that are not known to be committed, such as those given during a partition. */
    val pendingDrains get() = drains.pending

    internal val drainEntries get() = drains.entries.toList()

    val drainVersion: Long get() = drains.record.version

    /** All members of the own failure domain that were seen since the start. */
    val members: List<Member> get() = state.members.members

    /** The digests younger than [DIGEST_FRESH_MS], with their age. */
    fun digests(nowMs: Long): List<DomainDigest> = state.digests.all(nowMs).filter { it.ageMs < DIGEST_FRESH_MS }

    /**
     * Applies one input and returns what the caller must do.
     *
     * First the time is advanced, old digests are dropped, and the coordinator is determined from the remaining ones,
     * so that the input is handled with current data. Readiness is checked last, since the input may contain the
     * missing answer.
     */
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
            is SyncInput.StoreReadabilityChanged -> onStoreReadability(input.isReadable)
            is SyncInput.DrainEvent -> onDrains(input.input, nowMs, outputs)
            is SyncInput.CoordinatorChanged -> onCoordinator(input.holder, nowMs, outputs)
            is SyncInput.DigestChanged -> onDigest(input.payload, nowMs, outputs)
            is SyncInput.GrantsChanged -> exchange.setHeldGrants(input.failureDomain, input.payload)
            is SyncInput.UpstreamReported -> onReport(input, nowMs, outputs)
            SyncInput.Leaving -> onLeaving(nowMs, outputs)
        }
        if (readiness.check(clock.elapsedMs)) outputs += SyncOutput.Ready
        return outputs
    }

    private val PeerState.isOwnDomain: Boolean get() = peer.failureDomain == settings.failureDomain

    private val coordinator: InstanceId? get() = exchange.coordinator

    private val isCoordinator: Boolean get() = exchange.isCoordinator

    /** Prefers the lease. An instance that can't reach the voters learns the coordinator from the digest. */
    private fun updateCoordinator() {
        val digestCoordinator = state.digests.get(settings.failureDomain)?.coordinator
        exchange.coordinator = holder?.instance ?: digestCoordinator.takeIf { it != settings.self }
    }

    /**
     * Failed requests are recorded before new ones are sent, so that the choice of peers takes them into account. The
     * first periods start at random times, so that instances started together do not send at the same time.
     */
    private fun onTick(
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        if (nextPeriodMs == null) {
            state.advanceHeartbeat()
            nextPeriodMs = nowMs + random.nextLong(COORDINATOR_PERIOD_MS)
            nextRandomMs = nowMs + random.nextLong(RANDOM_PERIOD_MS)
        }
        onDrains(DrainInput.Ticked, nowMs, outputs)
        peers.all.filter { it.isOverdue(nowMs) }.forEach { onFailed(it.instance, nowMs, outputs) }
        readiness
            .duePeers(clock.elapsedMs)
            .mapNotNull { peers[it] }
            .forEach { exchange.sendRequest(it, nowMs, outputs) }
        if (nowMs >= nextPeriodMs!!) {
            nextPeriodMs = nowMs + COORDINATOR_PERIOD_MS
            state.advanceHeartbeat()?.let { outputs += SyncOutput.MemberChanged(it) }
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

    /**
     * Applies the data of the message before it is answered, so that the answer contains the result. A change is passed
     * on after the answer, to peers other than the sender.
     */
    private fun onMessage(
        message: SyncMessage,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val peer = peers[message.sender.instance] ?: return
        peer.updateSender(message.sender)
        val applied = state.applyMessage(message, peer.isOwnDomain, nowMs)
        peer.recordReceivedRows(state.heartbeatRows(message))
        outputs += applied.outputs
        state.refreshOwnRow()?.let { outputs += SyncOutput.MemberChanged(it) }
        when (message) {
            is SyncMessage.Request -> onRequest(message, peer, nowMs, outputs)
            is SyncMessage.Reply -> onReply(message, peer, nowMs, outputs)
            is SyncMessage.Push -> onPush(message, peer, nowMs, outputs)
        }
        if (applied.hasNewData) exchange.pushChange(peer, nowMs, outputs)
    }

    private fun onRequest(
        request: SyncMessage.Request,
        peer: PeerState,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        peer.lastExchangeMs = nowMs
        val held = request.grants
        if (held != null && isCoordinator && request.sender.heartbeat > peer.grantsHeartbeat) {
            peer.grantsHeartbeat = request.sender.heartbeat
            outputs += SyncOutput.GrantsReported(peer.instance, held.payload)
        }
        var data = state.updatesFor(peer, nowMs, request.requestedDigests)
        if (request.requestsHeartbeats) data = data.copy(heartbeats = state.heartbeatsFor(peer, minAdvance = 1))
        outputs += SyncOutput.Answer(SyncMessage.Reply(state.sender(), data))
        // The sender has data that this instance lacks.
        val isBehind =
            state.configuration.revision < request.sender.revision ||
                drains.record.version < request.sender.drainVersion
        if (isBehind && peer.pendingSinceMs == null) exchange.sendRequest(peer, nowMs, outputs)
    }

    private fun onReply(
        reply: SyncMessage.Reply,
        peer: PeerState,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        peer.lastExchangeMs = nowMs
        peer.pendingSinceMs = null
        peer.failures = 0
        val isCaughtUp = state.configuration.revision >= reply.sender.revision
        readiness.onAnswer(peer.instance, isCaughtUp && (reply.sender.revision > 0 || reply.sender.isStoreReadable))
        val updates = state.updatesFor(peer, nowMs)
        if (updates != SyncData()) outputs += SyncOutput.Send(peer.instance, SyncMessage.Push(state.sender(), updates))
    }

    private fun onPush(
        push: SyncMessage.Push,
        peer: PeerState,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        // The update could not be applied, since its base is above the revision of this instance.
        if (state.configuration.revision < push.sender.revision) exchange.sendRequest(peer, nowMs, outputs)
    }

    private fun onFailed(
        to: InstanceId,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val peer = peers[to] ?: return
        if (peer.pendingSinceMs == null) return
        peer.recordFailure()
        readiness.onFailure(to)
        // The coordinator must learn of this instance by another path when it can't be reached directly.
        if (to == coordinator) {
            peers
                .choose(
                    peers.all.filter { it.isOwnDomain && it != peer && it.pendingSinceMs == null },
                )?.let { exchange.sendRequest(it, nowMs, outputs) }
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
        exchange.pushChange(null, nowMs, outputs)
    }

    private fun onStoreReadability(isReadable: Boolean) {
        state.isStoreReadable = isReadable
        // The store member of this instance is as good a source as any other.
        if (isReadable) readiness.onAnswer(settings.self, isSufficient = true)
    }

    private fun onDrains(
        input: DrainInput,
        nowMs: Long,
        outputs: MutableList<SyncOutput>,
    ) {
        val drainOutputs = drains.handle(input, nowMs)
        drainOutputs.mapNotNullTo(outputs) { it.toSyncOutput() }
        if (DrainOutput.Propagate in drainOutputs) exchange.pushChange(null, nowMs, outputs)
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
        // The new coordinator gets the held grants and the upstreams at once, since it gives no grants until it has
        // them.
        if (!isCoordinator) peers[newHolder.instance]?.let { exchange.sendRequest(it, nowMs, outputs) }
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
        exchange.pushChange(null, nowMs, outputs)
    }
}

private fun PeerState.isOverdue(nowMs: Long) = pendingSinceMs?.let { nowMs - it >= REQUEST_TIMEOUT_MS } == true
