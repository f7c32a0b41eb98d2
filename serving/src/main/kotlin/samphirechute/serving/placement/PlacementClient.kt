package samphirechute.serving.placement

import com.github.michaelbull.result.fold
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.RequestTrait
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.OnDemandTimer
import samphirechute.core.time.TimerService
import samphirechute.net.peer.PeerClient
import samphirechute.routing.limit.LimitEvidence
import samphirechute.routing.placing.Placement
import samphirechute.routing.placing.PlacementDecision
import samphirechute.routing.placing.PlacementRequest
import samphirechute.routing.placing.PlacementResult
import samphirechute.routing.placing.Placer
import samphirechute.routing.placing.RefusedReason
import samphirechute.routing.quarantine.Quarantine
import samphirechute.routing.quarantine.QuarantineChange
import samphirechute.routing.quarantine.QuarantineReason
import samphirechute.routing.quarantine.RunEvidence
import samphirechute.routing.quarantine.RunOutcome
import samphirechute.serving.cluster.AwaitRequest
import samphirechute.serving.cluster.ClusterRoutes
import samphirechute.serving.cluster.LimitRegistry
import samphirechute.serving.cluster.PlacementReply
import samphirechute.serving.cluster.PlacementReport
import samphirechute.serving.cluster.QuarantineRegistry
import samphirechute.serving.cluster.RunningPlacement
import samphirechute.serving.cluster.Watcher
import samphirechute.serving.cluster.address

/**
 * Gets placements for the requests of an entry instance from the coordinator and reports how they ended. Used by the
 * relay; it runs on the event loop of the instance.
 *
 * While no coordinator answers, the local [Placer] decides, based on what this instance has running, so that service is
 * not interrupted. Those placements are reported to the coordinator afterwards. Reports are sent in batches, one at a
 * time, and again after a failure.
 */
class PlacementClient(
    private val self: InstanceId,
    private val timer: TimerService,
    private val client: PeerClient,
    private val watcher: Watcher,
    private val localPlacer: Placer,
    private val limits: LimitRegistry,
    private val quarantine: QuarantineRegistry,
) {
    /** Requests that wait in the queue of the local placer. */
    private val localWaiting = HashMap<RequestId, (Placement, String) -> Unit>()

    /** All requests of this instance that are placed and have not ended. */
    private val running = LinkedHashMap<RequestId, RunningPlacement>()

    /**
     * What the next report will contain: ended requests, withdrawn ones, those placed by this instance, and what answers
     * said about limits.
     */
    private val results = ArrayList<PlacementResult>()
    private val withdrawn = ArrayList<RequestId>()
    private val ownPlacements = ArrayList<RunningPlacement>()
    private val limitEvidence = LinkedHashMap<UpstreamId, LimitEvidence>()

    /** What has not reached a coordinator yet about prompts that crash upstreams; kept while there is none. */
    private val runEvidence = ArrayDeque<RunEvidence>()
    private val ownQuarantines = LinkedHashMap<Set<RequestTrait>, Quarantine>()
    private val ticks =
        OnDemandTimer(timer, TICK_MS, { localWaiting.isNotEmpty() }) { deliverLocal(localPlacer.tick(timer.nowMs())) }

    /** True if the next report has to name everything that runs. */
    private var isFullReportDue = false
    private var isReportScheduled = false

    /** True while a report is being sent; requests that end meanwhile go into the next one. */
    private var isReporting = false
    private val backoff = CoordinatorBackoff()
    private var lastCoordinator: InstanceId? = null

    fun start() {
        watcher.onLeaderChanged = {
            backoff.reset()
            coordinator()?.let(::recordCoordinator)
        }
        limits.onEvidence = {
            limitEvidence[it.upstream] = it
            scheduleReport()
        }
        quarantine.isAlone = { coordinator() == null }
        quarantine.onEvidence = {
            keepEvidence(listOf(it))
            // A caller repeats a lost request within milliseconds, through an instance that does not know of it.
            scheduleReport(if (it.outcome == RunOutcome.SOUND) REPORT_DELAY_MS else 0)
        }
        quarantine.onChange = ::keepChange
    }

    private fun keepEvidence(evidence: List<RunEvidence>) {
        runEvidence += evidence
        while (runEvidence.size > MAX_PENDING_RUNS) runEvidence.removeFirst()
    }

    private fun keepChange(change: QuarantineChange) {
        if (change.reason == QuarantineReason.LEARNED) return
        ownQuarantines[change.quarantine.traits] = change.quarantine
        while (ownQuarantines.size > MAX_PENDING_QUARANTINES) ownQuarantines -= ownQuarantines.keys.first()
        scheduleReport()
    }

    /**
     * Requests a placement. [onPlaced] receives the decision and the name of the instance that made it, or "self".
     * After [withdraw] it is not called for a request in the local queue, but may be called for one that the
     * coordinator is deciding; the caller then has to end what was granted.
     */
    fun place(
        request: PlacementRequest,
        onPlaced: (Placement, String) -> Unit,
    ) {
        val coordinator = coordinator()
        if (coordinator == null) {
            placeLocally(request, onPlaced)
        } else {
            ask(coordinator, request, mayRedirect = true, onPlaced)
        }
    }

    /** Cancels a request for a placement that has not been decided. */
    fun withdraw(request: RequestId) {
        localWaiting -= request
        running -= request
        deliverLocal(localPlacer.withdraw(request, timer.nowMs()))
        withdrawn += request
        scheduleReport()
    }

    /** Returns whether the service has an open upstream that is not among [excluded]. */
    fun hasAlternative(
        service: ServiceName,
        excluded: Set<UpstreamId>,
    ): Boolean = localPlacer.hasOpen(service, excluded, timer.nowMs())

    /** Reports the end of an attempt to the local placer at once and to the coordinator soon. */
    fun reportEnd(result: PlacementResult) {
        // A request that is taken over from a silent upstream is placed on the next one before its attempt ends.
        if (running[result.request]?.upstream == result.upstream) running -= result.request
        deliverLocal(localPlacer.reportEnd(result, timer.nowMs()))
        results += result
        scheduleReport()
    }

    /**
     * The instance to ask: the leader if it can be reached, otherwise another control instance. Null while the backoff
     * is active or none can be reached.
     */
    private fun coordinator(): InstanceId? {
        if (backoff.isActive(timer.nowMs())) return null
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
        recordCoordinator(coordinator)
        client.call(address, ClusterRoutes.place, request, ASK_TIMEOUT_MS) { result ->
            result.fold({ onReply(coordinator, it, request, mayRedirect, onPlaced) }) {
                log.event("coordinator_silent", mapOf("instance" to coordinator, "error" to it.detail))
                backoff.recordTimeout(timer.nowMs())
                withdrawn += request.request
                placeLocally(request, onPlaced)
            }
        }
    }

    private fun onReply(
        coordinator: InstanceId,
        reply: PlacementReply,
        request: PlacementRequest,
        mayRedirect: Boolean,
        onPlaced: (Placement, String) -> Unit,
    ) {
        backoff.reset()
        val placement = reply.placement
        val other = reply.coordinator
        when {
            placement != null -> onPlacement(request, placement, coordinator.value, onPlaced)
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
                val placement = reply.placement ?: Placement.Refused(RefusedReason.EXPIRED, EXPIRED_RETRY_MS)
                onPlacement(request, placement, coordinator.value, onPlaced)
            }) { placeLocally(request, onPlaced) }
        }
    }

    private fun onPlacement(
        request: PlacementRequest,
        placement: Placement,
        by: String,
        onPlaced: (Placement, String) -> Unit,
    ) {
        if (placement is Placement.Granted) {
            running[request.request] = RunningPlacement(request, placement.upstream)
            localPlacer.recordPlacement(request, placement.upstream, timer.nowMs())
        }
        onPlaced(placement, by)
    }

    private fun placeLocally(
        request: PlacementRequest,
        onPlaced: (Placement, String) -> Unit,
    ) {
        // Only the coordinator knows what is left of the budget beyond the part of this instance.
        if (request.needsRetryGrant) return onPlaced(REFUSED_RETRY, "self")
        val placement = localPlacer.place(request, timer.nowMs())
        if (placement == null) {
            localWaiting[request.request] = onPlaced
            return ticks.arm()
        }
        onLocalPlacement(request, placement, onPlaced)
    }

    private fun onLocalPlacement(
        request: PlacementRequest,
        placement: Placement,
        onPlaced: (Placement, String) -> Unit,
    ) {
        if (placement is Placement.Granted) {
            val placed = RunningPlacement(request, placement.upstream)
            running[request.request] = placed
            ownPlacements += placed
            scheduleReport()
        }
        onPlaced(placement, "self")
    }

    private fun deliverLocal(decisions: List<PlacementDecision>) =
        decisions.forEach { decision ->
            localWaiting
                .remove(decision.request.request)
                ?.let { onLocalPlacement(decision.request, decision.placement, it) }
        }

    /** Schedules a full report when the coordinator changes, since a new one does not know what runs. */
    private fun recordCoordinator(coordinator: InstanceId) {
        if (coordinator == lastCoordinator) return
        log.event(
            "coordinator_changed",
            mapOf("from" to lastCoordinator, "to" to coordinator, "running" to running.size),
        )
        lastCoordinator = coordinator
        isFullReportDue = true
        scheduleReport()
    }

    private fun scheduleReport(afterMs: Long = REPORT_DELAY_MS) {
        if (isReportScheduled) return
        isReportScheduled = true
        timer.after(afterMs) {
            isReportScheduled = false
            sendReport()
        }
    }

    private fun sendReport() {
        if (isReporting) return
        val address = (lastCoordinator ?: coordinator())?.address ?: return clearPending()
        val placed = if (isFullReportDue) running.values.toList() else ownPlacements.toList()
        val sentLimits = limitEvidence.toMap()
        val notices = sentLimits.values.map(limits::notice) + if (isFullReportDue) limits.all() else emptyList()
        val sentRuns = runEvidence.toList()
        val sentQuarantines = ownQuarantines.toMap()
        val quarantines =
            if (isFullReportDue) quarantine.all() else sentQuarantines.values.map(quarantine::notice)
        val message =
            PlacementReport(
                self,
                results.toList(),
                placed,
                withdrawn.toList(),
                isFullReportDue,
                notices,
                sentRuns.map(quarantine::notice),
                quarantines,
            )
        clearPending()
        runEvidence.clear()
        ownQuarantines.clear()
        isReporting = true
        client.call(address, ClusterRoutes.ends, message, REPORT_TIMEOUT_MS) { result ->
            isReporting = false
            result.fold({ if (isReportDue()) scheduleReport() }) {
                sentLimits.forEach(limitEvidence::putIfAbsent)
                keepEvidence(sentRuns)
                sentQuarantines.forEach(ownQuarantines::putIfAbsent)
                requeue(message)
            }
        }
    }

    private fun isReportDue() =
        isFullReportDue || results.isNotEmpty() || ownPlacements.isNotEmpty() || withdrawn.isNotEmpty() ||
            limitEvidence.isNotEmpty() || runEvidence.isNotEmpty() || ownQuarantines.isNotEmpty()

    /**
     * Puts the contents of a failed report into the next one. A lost report would keep capacity occupied until the
     * deadline of each request; applying a report twice does no harm.
     */
    private fun requeue(message: PlacementReport) {
        if (results.size + message.results.size > MAX_PENDING_RESULTS) {
            log.event("ends_dropped", mapOf("results" to message.results.size))
        } else {
            results += message.results
            withdrawn += message.withdrawn.filter { it !in running }
            if (!message.isWhole) ownPlacements += message.own.filter { it.request.request in running }
            isFullReportDue = isFullReportDue || message.isWhole
        }
        scheduleReport(REPORT_RETRY_MS)
    }

    private fun clearPending() {
        results.clear()
        ownPlacements.clear()
        isFullReportDue = false
        withdrawn.clear()
        limitEvidence.clear()
    }

    private companion object {
        const val TICK_MS = 20L

        /** Collects ends for this long before a report is sent. */
        const val REPORT_DELAY_MS = 5L

        /**
         * A third of the shortest target in the users' requirements; answers normally arrive within a few milliseconds.
         */
        const val ASK_TIMEOUT_MS = 100L
        const val REPORT_TIMEOUT_MS = 250L

        /** Delay after a report without an answer. */
        const val REPORT_RETRY_MS = 400L
        const val EXPIRED_RETRY_MS = 300L
        val REFUSED_RETRY = Placement.Refused(RefusedReason.RETRY_BUDGET, retryAfterMs = 500)
        const val MAX_PENDING_RESULTS = 1_000
        const val MAX_PENDING_RUNS = 256
        const val MAX_PENDING_QUARANTINES = 256
        val log = KeyValueLog("place")
    }
}
