package samphirechute.serving.control

import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.core.time.OnDemandTimer
import samphirechute.core.time.TimerService
import samphirechute.net.peer.PeerApi
import samphirechute.net.peer.PeerExchange
import samphirechute.routing.placing.Placement
import samphirechute.routing.placing.PlacementDecision
import samphirechute.routing.placing.PlacementRequest
import samphirechute.routing.placing.Placer
import samphirechute.serving.cluster.ClusterRoutes
import samphirechute.serving.cluster.LimitNotice
import samphirechute.serving.cluster.PlacementReply
import samphirechute.serving.cluster.QuarantineRegistry

/**
 * Places requests for all instances: it answers their placement calls and takes in their reports. The store's leader
 * does so; another control instance only while it has no contact with a leader, as in a failure domain that is cut off.
 * Nothing here is durable: to a new coordinator, instances report again what they have running.
 */
class PlacementCoordinator(
    private val timer: TimerService,
    private val store: StoreMember,
    private val placer: Placer,
    private val announceEveryMs: Long,
    private val isLost: (InstanceId) -> Boolean,
    private val onUpstreamLeaving: (UpstreamId, bornMs: Long) -> Unit,
    private val onLimits: (List<LimitNotice>) -> Unit,
    private val quarantine: QuarantineRegistry,
    private val retries: RetryDesk,
) {
    private val startedMs = timer.nowMs()

    /** Decisions on requests whose instance has not asked for them yet. */
    private val undelivered = HashMap<RequestId, Placement>()

    /** The calls that wait for a decision. */
    private val awaiting = HashMap<RequestId, PeerExchange<PlacementReply>>()

    private val placerTicks =
        OnDemandTimer(timer, TICK_MS, { placer.waiting > 0 }) { deliver(placer.tick(timer.nowMs())) }

    fun start() {
        timer.every(CLEANUP_INTERVAL_MS) {
            retries.observeLeadership()
            placer.forget(isLost, timer.nowMs())
            deliver(placer.tick(timer.nowMs()))
        }
    }

    fun serve(api: PeerApi) {
        api.on(ClusterRoutes.place) { request, exchange -> exchange.answer(place(request)) }
        api.on(ClusterRoutes.await) { message, exchange -> await(message.request, exchange) }
        api.on(ClusterRoutes.ends) { message, exchange ->
            exchange.answer(Unit)
            message.withdrawn.forEach(::discard)
            if (message.limits.isNotEmpty()) onLimits(message.limits)
            if (message.quarantines.isNotEmpty()) quarantine.merge(message.quarantines)
            quarantine.record(message.runs)
            message.results.forEach { result -> result.leavingBornMs?.let { onUpstreamLeaving(result.upstream, it) } }
            deliver(placer.applyReport(message, timer.nowMs()))
        }
    }

    /** Decides at once, queues the request, or names the leader, which decides instead of this instance. */
    private fun place(request: PlacementRequest): PlacementReply {
        val leader = store.leader
        if (leader != null && !store.isLeader && store.hasLeaderContact) return PlacementReply(coordinator = leader)
        placer.hasPeerPlacers = !store.isLeader
        placer.mayProbe = store.isLeader
        placer.isLearning = timer.nowMs() - startedMs < announceEveryMs + ANNOUNCE_MARGIN_MS
        retries.refuse(request)?.let { return PlacementReply(it) }
        val placement = placer.place(request, timer.nowMs())
        if (placement != null) return PlacementReply(retries.settle(request, placement))
        placerTicks.arm()
        return PlacementReply(isWaiting = true)
    }

    private fun await(
        request: RequestId,
        exchange: PeerExchange<PlacementReply>,
    ) {
        undelivered.remove(request)?.let { return exchange.answer(PlacementReply(it)) }
        awaiting[request] = exchange
        exchange.onAborted { if (awaiting.remove(request, exchange)) withdraw(request) }
    }

    private fun withdraw(request: RequestId) {
        discard(request)
        deliver(placer.withdraw(request, timer.nowMs()))
    }

    private fun discard(request: RequestId) {
        awaiting -= request
        undelivered -= request
        retries.withdraw(request)
    }

    private fun deliver(decisions: List<PlacementDecision>) {
        for (decision in decisions) {
            val id = decision.request.request
            val placement = retries.settle(decision.request, decision.placement)
            val exchange = awaiting.remove(id)
            if (exchange != null) exchange.answer(PlacementReply(placement)) else keep(id, placement)
        }
    }

    /** Keeps a decision until the instance asks for it. One that nobody asks for is withdrawn after a while. */
    private fun keep(
        id: RequestId,
        placement: Placement,
    ) {
        undelivered[id] = placement
        timer.after(UNDELIVERED_KEEP_MS) { if (undelivered.remove(id, placement)) placer.withdraw(id, timer.nowMs()) }
    }

    private companion object {
        const val TICK_MS = 20L
        const val CLEANUP_INTERVAL_MS = 500L
        const val UNDELIVERED_KEEP_MS = 2_000L

        /** Announcements of upstreams may be this late. */
        const val ANNOUNCE_MARGIN_MS = 500L
    }
}
