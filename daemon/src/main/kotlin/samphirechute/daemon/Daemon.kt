package samphirechute.daemon

import io.prometheus.metrics.instrumentation.jvm.JvmMetrics
import io.prometheus.metrics.model.registry.PrometheusRegistry
import samphirechute.core.HostPort
import samphirechute.core.settings.DaemonSettings
import samphirechute.core.timeline.EventRing
import samphirechute.daemon.caller.CallerApi
import samphirechute.daemon.caller.RequestDependencies
import samphirechute.daemon.controller.ClaimController
import samphirechute.daemon.controller.CoordinatorController
import samphirechute.daemon.controller.DigestController
import samphirechute.daemon.controller.DrainController
import samphirechute.daemon.controller.GrantController
import samphirechute.daemon.controller.OrderController
import samphirechute.daemon.controller.StoreClient
import samphirechute.daemon.controller.StoreController
import samphirechute.daemon.controller.SyncController
import samphirechute.daemon.document.BlobApi
import samphirechute.daemon.document.BlobClient
import samphirechute.daemon.document.BlobStore
import samphirechute.daemon.document.DocumentFinder
import samphirechute.daemon.document.DocumentIntake
import samphirechute.daemon.document.DocumentLeader
import samphirechute.daemon.document.DocumentRunners
import samphirechute.daemon.document.FindReply
import samphirechute.daemon.http.DaemonApi
import samphirechute.daemon.metrics.MemoryMetrics
import samphirechute.daemon.metrics.RequestMetrics
import samphirechute.daemon.metrics.TrafficMetrics
import samphirechute.daemon.operator.OperatorApi
import samphirechute.daemon.operator.Views
import samphirechute.daemon.peer.LeaseReply
import samphirechute.daemon.peer.PeerRoutes
import samphirechute.daemon.peer.SyncReply
import samphirechute.daemon.peer.UpstreamReply
import samphirechute.net.EventLoop
import samphirechute.net.HttpClient
import samphirechute.net.HttpServer
import samphirechute.net.ServerLimits
import samphirechute.net.peer.PeerApi
import samphirechute.net.peer.PeerClient
import samphirechute.state.command.Command
import samphirechute.state.command.DrainTarget
import samphirechute.state.lease.LeaseHolder
import samphirechute.state.sync.SyncInput

/** One instance of the system: its controllers, its interfaces, and how they are joined. */
class Daemon(
    private val settings: DaemonSettings,
    private val loop: EventLoop,
    incarnation: Long = System.currentTimeMillis(),
    private val exit: (Int) -> Unit,
) : AutoCloseable {
    private val runtime = Runtime(settings, loop, HttpClient(loop), EventRing(settings.instance), incarnation)
    private val registry = PrometheusRegistry()
    private val peerClient = PeerClient(runtime.client, settings.keys.peer)
    private val store = settings.store?.let { StoreController(runtime, peerClient, it) }
    private val storeClient = StoreClient(runtime, peerClient, store)
    private val sync = SyncController(runtime, peerClient)
    private val coordinator = CoordinatorController(runtime, peerClient)
    private val grants = GrantController(runtime, peerClient, coordinator, sync)
    private val digests = DigestController(runtime, sync, coordinator, grants)
    private val drains = DrainController(runtime, storeClient, sync)
    private val lifecycle = Lifecycle(settings, sync)
    private val requestDependencies =
        RequestDependencies(runtime, grants, ClaimController(runtime, storeClient), RequestMetrics(registry))
    private val blobStore = settings.store?.let { BlobStore(it.dataFolder.resolve(BLOB_FOLDER), loop::post) }
    private val blobClient = BlobClient(runtime, blobStore)
    private val finder = DocumentFinder(runtime, peerClient, store)
    private val intake = DocumentIntake(runtime, storeClient, blobClient, finder)
    private val callers = CallerApi(requestDependencies, lifecycle::refusalReason, sync::service, intake)
    private val documents =
        DocumentRunners(runtime, storeClient, blobClient, sync::service, callers::runDocument)
    private val orders = store?.let { OrderController(runtime, peerClient, it, coordinator, sync) }
    private val documentLeader = store?.let { DocumentLeader(runtime, peerClient, it, sync, documents) }
    private val operators =
        OperatorApi(runtime, storeClient, drains, Views(runtime, lifecycle, sync, coordinator, store), store)
    private val peerApi = PeerApi()
    private val api = DaemonApi(settings, lifecycle, callers, operators, peerApi, BlobApi(blobStore), sync, registry)
    private val server = HttpServer(loop, serverLimits(), api::handle)
    private val stopper = Stopper(runtime, lifecycle, callers, documents, ::leave, exit)

    /** Listens and takes part in the system; returns the bound address. */
    fun start(): HostPort {
        join()
        val address = server.bind(settings.listen)
        loop.post {
            runtime.ring.record("started", null, "address" to address, "failure_domain" to settings.failureDomain)
            store?.start()
            coordinator.start()
            sync.start()
            grants.start()
            digests.start()
            documents.start()
            documentLeader?.start()
            orders?.start()
            blobStore?.let(::cleanBlobs)
            // Claims of an earlier life of this instance end as unknown at once, not at their deadline.
            storeClient.propose(Command.RecordIncarnation(runtime.claimant), INCARNATION_TIMEOUT_MS) { }
        }
        JvmMetrics.builder().register(registry)
        TrafficMetrics.register(registry, runtime.client.traffic, server.traffic)
        MemoryMetrics.register(registry, server)
        return address
    }

    /** A signal to stop came; the second one ends the process at once. */
    fun stopSignalled() = loop.post { stopper.signalled() }

    override fun close() {
        server.close()
        store?.close()
        blobStore?.close()
    }

    private fun join() {
        joinState()
        joinPeers()
    }

    private fun joinState() {
        coordinator.onHolderChanged = ::holderChanged
        sync.onDrainsChanged = ::drainsChanged
        sync.onDigests = { digests.update() }
        sync.onGrantsReported = coordinator::renewGrants
        sync.onReports = coordinator::addReports
        sync.onCommitDrain = drains::commit
        sync.onUndrainCommitted = drains::handleUndrainCommitted
        store?.onConfiguration = { sync.feed(SyncInput.ConfigurationCommitted(it)) }
        store?.onDrainRecord = { sync.feed(SyncInput.DrainEvent(it)) }
        store?.onStopped = { exit(EXIT_DISK) }
        store?.onApplied = {
            documentLeader?.applied(it)
            orders?.handleApplied(it)
        }
        store?.onLeadershipChanged = { term ->
            documentLeader?.leadershipChanged(term != null)
            orders?.handleLeadershipChanged(term)
        }
        store?.onReadabilityChanged = { sync.feed(SyncInput.StoreReadabilityChanged(it)) }
    }

    private fun joinPeers() {
        peerApi.on(PeerRoutes.grants) { request, exchange ->
            exchange.onAborted { coordinator.withdraw(request.key) }
            coordinator.requestGrant(request) { exchange.answer(it) }
        }
        peerApi.on(PeerRoutes.releases) { message, exchange ->
            coordinator.release(message.key, message.result)
            exchange.answer(Unit)
        }
        peerApi.on(PeerRoutes.upstreams) { message, exchange ->
            coordinator.addReports(message.reports)
            exchange.answer(Unit)
        }
        peerApi.on(PeerRoutes.sync) { message, exchange -> exchange.answer(SyncReply(sync.receive(message))) }
        peerApi.on(PeerRoutes.lease) { envelope, exchange ->
            exchange.answer(LeaseReply(coordinator.receive(envelope)))
        }
        peerApi.on(PeerRoutes.findUpstream) { query, exchange ->
            exchange.answer(UpstreamReply.of(coordinator.reportIfCoordinator(query.upstream)))
        }
        peerApi.on(PeerRoutes.runDocument) { message, exchange ->
            documents.assigned(message)
            exchange.answer(Unit)
        }
        peerApi.on(PeerRoutes.findDocument) { message, exchange ->
            exchange.answer(FindReply(store?.state?.documents?.get(message.id)))
        }
        store?.serve(peerApi)
    }

    private fun holderChanged(holder: LeaseHolder?) {
        sync.feed(SyncInput.CoordinatorChanged(holder))
        digests.update()
    }

    private fun drainsChanged(targets: Set<DrainTarget>) {
        coordinator.updateDrains(targets)
        // A drained instance hands the lease back; the coordinator of a drained failure domain keeps it, so that
        // the work still running there stays accounted for.
        coordinator.updateEligibility(!lifecycle.isLeaving && DrainTarget.Instance(settings.instance) !in targets)
        digests.publish()
    }

    private fun leave() {
        sync.feed(SyncInput.Leaving)
        coordinator.updateEligibility(false)
    }

    private fun cleanBlobs(blobs: BlobStore) {
        runtime.timer.every(BLOB_CLEANING_MS) {
            val records =
                store
                    ?.state
                    ?.documents
                    ?.values
                    .orEmpty()
            blobs.clean(records.flatMap { listOfNotNull(it.bodyDigest, it.answerDigest) }.toSet(), BLOB_KEEP_MS)
        }
    }

    private fun serverLimits() =
        ServerLimits(
            maxHeadBytes = settings.limits.maxHeadBytes,
            maxBodyBytes = settings.limits.maxBodyBytes,
            maxBufferedBytes = settings.limits.maxBufferedBytes,
            maxConnections = settings.limits.maxConnections,
        )

    private companion object {
        const val BLOB_FOLDER = "blobs"

        /** The log cannot be kept; a process manager must not take this for a planned stop. */
        const val EXIT_DISK = 4
        const val INCARNATION_TIMEOUT_MS = 60_000L
        const val BLOB_CLEANING_MS = 3_600_000L

        /** Longer than any document is known, since this member's state may lag behind the log. */
        const val BLOB_KEEP_MS = 72 * 3_600_000L
    }
}
