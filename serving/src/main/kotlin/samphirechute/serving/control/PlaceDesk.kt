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
import samphirechute.serving.cluster.PlacementReply

/**
 * Places requests for all instances. The store's leader does so; another control instance only while it has no leader,
 * as in a failure domain that is cut off. Nothing here is durable: instances report again what they have running.
 */
class PlaceDesk(
    private val timer: TimerService,
    private val store: StoreKeeper,
    private val placer: Placer,
    private val announceEveryMs: Long,
    private val isGone: (InstanceId) -> Boolean,
    private val onLeaving: (UpstreamId, bornMs: Long) -> Unit,
) {
    private val startedMs = timer.nowMs()
    private val decided = HashMap<RequestId, Placement>()
    private val awaiting = HashMap<RequestId, PeerExchange<PlacementReply>>()

    private val ticks = OnDemandTimer(timer, TICK_MS, { placer.waiting > 0 }) { decide(placer.tick(timer.nowMs())) }

    fun start() {
        timer.every(FORGET_MS) {
            placer.forget(isGone, timer.nowMs())
            decide(placer.tick(timer.nowMs()))
        }
    }

    fun serve(api: PeerApi) {
        api.on(ClusterRoutes.place) { request, exchange -> exchange.answer(place(request)) }
        api.on(ClusterRoutes.await) { message, exchange -> await(message.request, exchange) }
        api.on(ClusterRoutes.ends) { message, exchange ->
            exchange.answer(Unit)
            message.withdrawn.forEach(::forget)
            message.results.forEach { result -> result.leavingBornMs?.let { onLeaving(result.upstream, it) } }
            decide(placer.applyReport(message, timer.nowMs()))
        }
    }

    private fun place(request: PlacementRequest): PlacementReply {
        val leader = store.leader
        if (leader != null && !store.isLeader && store.isInTouch) return PlacementReply(coordinator = leader)
        placer.hasPeerPlacers = !store.isLeader
        placer.isLearning = timer.nowMs() - startedMs < announceEveryMs + ANNOUNCE_MARGIN_MS
        val placement = placer.place(request, timer.nowMs())
        if (placement != null) return PlacementReply(placement)
        ticks.arm()
        return PlacementReply(isWaiting = true)
    }

    private fun await(
        request: RequestId,
        exchange: PeerExchange<PlacementReply>,
    ) {
        decided.remove(request)?.let { return exchange.answer(PlacementReply(it)) }
        awaiting[request] = exchange
        exchange.onAborted { if (awaiting.remove(request, exchange)) withdraw(request) }
    }

    private fun withdraw(request: RequestId) {
        forget(request)
        decide(placer.withdraw(request, timer.nowMs()))
    }

    private fun forget(request: RequestId) {
        awaiting -= request
        decided -= request
    }

    private fun decide(decisions: List<PlacementDecision>) {
        for (decision in decisions) {
            val id = decision.request.request
            val exchange = awaiting.remove(id)
            if (exchange != null) exchange.answer(PlacementReply(decision.placement)) else keep(id, decision.placement)
        }
    }

    /** The instance has not asked for the decision yet; what nobody asks for is forgotten. */
    private fun keep(
        id: RequestId,
        placement: Placement,
    ) {
        decided[id] = placement
        timer.after(KEEP_MS) { if (decided.remove(id, placement)) placer.withdraw(id, timer.nowMs()) }
    }

    private companion object {
        const val TICK_MS = 20L
        const val FORGET_MS = 500L
        const val KEEP_MS = 2_000L

        /** Upstreams are up to so late with an announcement. */
        const val ANNOUNCE_MARGIN_MS = 500L
    }
}
