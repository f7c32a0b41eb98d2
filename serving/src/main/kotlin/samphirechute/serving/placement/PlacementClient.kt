package samphirechute.serving.placement

import com.github.michaelbull.result.fold
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.OnDemandTimer
import samphirechute.core.time.TimerService
import samphirechute.net.peer.PeerClient
import samphirechute.routing.placing.Placement
import samphirechute.routing.placing.PlacementDecision
import samphirechute.routing.placing.PlacementRequest
import samphirechute.routing.placing.PlacementResult
import samphirechute.routing.placing.Placer
import samphirechute.routing.placing.RefusedReason
import samphirechute.serving.cluster.AwaitRequest
import samphirechute.serving.cluster.ClusterRoutes
import samphirechute.serving.cluster.PlacementReply
import samphirechute.serving.cluster.PlacementReport
import samphirechute.serving.cluster.RunningPlacement
import samphirechute.serving.cluster.Watcher
import samphirechute.serving.cluster.address

/**
 * Asks the coordinator where a request goes. While none answers, the instance places its requests itself, by what it has
 * under way; so no second is without service, and the coordinator is told of them afterwards.
 */
class PlacementClient(
    private val self: InstanceId,
    private val timer: TimerService,
    private val client: PeerClient,
    private val watcher: Watcher,
    private val local: Placer,
) {
    private val localWaiting = HashMap<RequestId, (Placement, String) -> Unit>()
    private val running = LinkedHashMap<RequestId, RunningPlacement>()
    private val results = ArrayList<PlacementResult>()
    private val withdrawn = ArrayList<RequestId>()
    private val own = ArrayList<RunningPlacement>()
    private val ticks =
        OnDemandTimer(timer, TICK_MS, { localWaiting.isNotEmpty() }) { answerLocal(local.tick(timer.nowMs())) }
    private var isWholeDue = false
    private var isFlushDue = false

    /** True while a report is under way; what ends meanwhile goes into the next one. */
    private var isReporting = false
    private val silence = CoordinatorSilence()
    private var lastCoordinator: InstanceId? = null

    fun start() {
        watcher.onLeaderChanged = {
            silence.end()
            coordinator()?.let(::noteCoordinator)
        }
    }

    /** [onPlaced] gets the decision and who made it; it is not called after [withdraw]. */
    fun place(
        request: PlacementRequest,
        onPlaced: (Placement, String) -> Unit,
    ) {
        val coordinator = coordinator()
        if (coordinator ==
            null
        ) {
            placeLocally(request, onPlaced)
        } else {
            ask(coordinator, request, mayRedirect = true, onPlaced)
        }
    }

    fun withdraw(request: RequestId) {
        localWaiting -= request
        running -= request
        answerLocal(local.withdraw(request, timer.nowMs()))
        withdrawn += request
        flushSoon()
    }

    /** True when an upstream of the service is known that is open and not among [excluded]. */
    fun hasOther(
        service: ServiceName,
        excluded: Set<UpstreamId>,
    ): Boolean = local.hasOpen(service, excluded)

    fun reportEnd(result: PlacementResult) {
        running -= result.request
        answerLocal(local.reportEnd(result, timer.nowMs()))
        results += result
        flushSoon()
    }

    private fun coordinator(): InstanceId? {
        if (silence.isAvoided(timer.nowMs())) return null
        val leader = watcher.leader?.takeIf { watcher.isReachable(it) }
        return leader ?: watcher.reachable().firstOrNull()
    }

    private fun ask(
        coordinator: InstanceId,
        request: PlacementRequest,
        mayRedirect: Boolean,
        onPlaced: (Placement, String) -> Unit,
    ) {
        val address = coordinator.address ?: return placeLocally(request, onPlaced)
        noteCoordinator(coordinator)
        client.call(address, ClusterRoutes.place, request, ASK_TIMEOUT_MS) { result ->
            result.fold({ answered(coordinator, it, request, mayRedirect, onPlaced) }) {
                log.event("coordinator_silent", mapOf("instance" to coordinator, "error" to it.detail))
                silence.noticed(timer.nowMs())
                withdrawn += request.request
                placeLocally(request, onPlaced)
            }
        }
    }

    private fun answered(
        coordinator: InstanceId,
        reply: PlacementReply,
        request: PlacementRequest,
        mayRedirect: Boolean,
        onPlaced: (Placement, String) -> Unit,
    ) {
        silence.end()
        val placement = reply.placement
        val other = reply.coordinator
        when {
            placement != null -> placed(request, placement, coordinator.value, onPlaced)
            reply.isWaiting -> await(coordinator, request, onPlaced)
            other != null && mayRedirect -> ask(other, request, mayRedirect = false, onPlaced)
            else -> placeLocally(request, onPlaced)
        }
    }

    private fun await(
        coordinator: InstanceId,
        request: PlacementRequest,
        onPlaced: (Placement, String) -> Unit,
    ) {
        val address = coordinator.address ?: return placeLocally(request, onPlaced)
        client.call(address, ClusterRoutes.await, AwaitRequest(request.request), request.deadlineMs) { result ->
            result.fold({ reply ->
                val placement = reply.placement ?: Placement.Refused(RefusedReason.EXPIRED, RETRY_MS)
                placed(request, placement, coordinator.value, onPlaced)
            }) { placeLocally(request, onPlaced) }
        }
    }

    private fun placed(
        request: PlacementRequest,
        placement: Placement,
        by: String,
        onPlaced: (Placement, String) -> Unit,
    ) {
        if (placement is Placement.Granted) {
            running[request.request] = RunningPlacement(request, placement.upstream)
            local.recordPlacement(request, placement.upstream, timer.nowMs())
        }
        onPlaced(placement, by)
    }

    private fun placeLocally(
        request: PlacementRequest,
        onPlaced: (Placement, String) -> Unit,
    ) {
        val placement = local.place(request, timer.nowMs())
        if (placement == null) {
            localWaiting[request.request] = onPlaced
            return ticks.arm()
        }
        localPlaced(request, placement, onPlaced)
    }

    private fun localPlaced(
        request: PlacementRequest,
        placement: Placement,
        onPlaced: (Placement, String) -> Unit,
    ) {
        if (placement is Placement.Granted) {
            val placed = RunningPlacement(request, placement.upstream)
            running[request.request] = placed
            own += placed
            flushSoon()
        }
        onPlaced(placement, "self")
    }

    private fun answerLocal(decisions: List<PlacementDecision>) =
        decisions.forEach { decision ->
            localWaiting.remove(decision.request.request)?.let { localPlaced(decision.request, decision.placement, it) }
        }

    /** A new coordinator knows nothing of what runs. */
    private fun noteCoordinator(coordinator: InstanceId) {
        if (coordinator == lastCoordinator) return
        log.event(
            "coordinator_changed",
            mapOf("from" to lastCoordinator, "to" to coordinator, "running" to running.size),
        )
        lastCoordinator = coordinator
        isWholeDue = true
        flushSoon()
    }

    private fun flushSoon(afterMs: Long = FLUSH_MS) {
        if (isFlushDue) return
        isFlushDue = true
        timer.after(afterMs) {
            isFlushDue = false
            flush()
        }
    }

    private fun flush() {
        if (isReporting) return
        val address = (lastCoordinator ?: coordinator())?.address ?: return drop()
        val placed = if (isWholeDue) running.values.toList() else own.toList()
        val message = PlacementReport(self, results.toList(), placed, withdrawn.toList(), isWholeDue)
        drop()
        isReporting = true
        client.call(address, ClusterRoutes.ends, message, REPORT_TIMEOUT_MS) { result ->
            isReporting = false
            result.fold({ if (isReportDue()) flushSoon() }) { sendAgain(message) }
        }
    }

    private fun isReportDue() = isWholeDue || results.isNotEmpty() || own.isNotEmpty() || withdrawn.isNotEmpty()

    /** An end that is not heard keeps its place taken until the deadline; receiving it twice does no harm. */
    private fun sendAgain(message: PlacementReport) {
        if (results.size + message.results.size > MAX_KEPT) {
            log.event("ends_dropped", mapOf("results" to message.results.size))
        } else {
            results += message.results
            withdrawn += message.withdrawn.filter { it !in running }
            isWholeDue = isWholeDue || message.isWhole
        }
        flushSoon(REPORT_AGAIN_MS)
    }

    private fun drop() {
        results.clear()
        own.clear()
        isWholeDue = false
        withdrawn.clear()
    }

    private companion object {
        const val TICK_MS = 20L
        const val FLUSH_MS = 5L

        /** A third of the shortest target of the users' sheets; answers come within a few milliseconds. */
        const val ASK_TIMEOUT_MS = 100L
        const val REPORT_TIMEOUT_MS = 250L

        /** After a report without an answer. */
        const val REPORT_AGAIN_MS = 400L
        const val RETRY_MS = 300L
        const val MAX_KEPT = 1_000
        val log = KeyValueLog("place")
    }
}
