package samphirechute.serving.entry

import io.prometheus.metrics.model.registry.PrometheusRegistry
import samphirechute.core.log.KeyValueLog
import samphirechute.net.EventLoop
import samphirechute.net.Exchange
import samphirechute.net.HttpClient
import samphirechute.net.peer.PeerClient
import samphirechute.routing.flow.RetryBudget
import samphirechute.routing.flow.RetryParts
import samphirechute.routing.limit.UpstreamLimits
import samphirechute.routing.placing.BusyUpstream
import samphirechute.routing.placing.Placer
import samphirechute.routing.quarantine.RequestQuarantine
import samphirechute.serving.cluster.ClusterView
import samphirechute.serving.cluster.ConfigReader
import samphirechute.serving.cluster.DrainedDomains
import samphirechute.serving.cluster.LimitNotice
import samphirechute.serving.cluster.LimitRegistry
import samphirechute.serving.cluster.PaceMonitor
import samphirechute.serving.cluster.QuarantineNotice
import samphirechute.serving.cluster.QuarantineRegistry
import samphirechute.serving.cluster.RevisionCheck
import samphirechute.serving.cluster.ServingSettings
import samphirechute.serving.cluster.UpstreamAvailability
import samphirechute.serving.cluster.UpstreamRecord
import samphirechute.serving.cluster.UpstreamState
import samphirechute.serving.cluster.UpstreamTable
import samphirechute.serving.cluster.WatchListener
import samphirechute.serving.cluster.Watcher
import samphirechute.serving.placement.PlacementClient
import samphirechute.serving.relay.RelayContext
import samphirechute.serving.relay.RelayProtocol
import samphirechute.serving.relay.RequestHandler
import samphirechute.serving.relay.RequestLog
import samphirechute.state.store.AdoptedConfig

/**
 * An entry instance: accepts the requests of callers and relays them to upstreams. It follows control instances for the
 * configuration and the records of upstreams, and keeps nothing on disk. The platform's entry process creates it.
 */
class EntryNode(
    private val settings: ServingSettings,
    loop: EventLoop,
    reader: ConfigReader,
    protocol: RelayProtocol,
    registry: PrometheusRegistry,
) {
    private val timer = loop.timer
    private val peerClient = PeerClient(HttpClient(loop, CONNECT_TIMEOUT_MS))
    private val table = UpstreamTable()
    private val watcher: Watcher = Watcher(settings, timer, peerClient, isEntry = true, Listener())
    private val revisionCheck: RevisionCheck =
        RevisionCheck(timer, peerClient, watcher) { requestHandler.revision ?: 0 }
    private val upstreamLimits = UpstreamLimits { watcher.entries }
    private val limits = LimitRegistry(settings.instance, timer, upstreamLimits, registry)
    private val requestQuarantine = RequestQuarantine(settings.instance)
    private val quarantine = QuarantineRegistry(settings.instance, timer, requestQuarantine, registry)
    private val placer =
        Placer(settings.instance.hashCode(), upstreamLimits, requestQuarantine, settings.placing)
    private val pace = PaceMonitor(placer.pace, registry)
    private val view = ClusterView(reader, timer, placer)
    private val placements = PlacementClient(settings.instance, timer, peerClient, watcher, placer, limits, quarantine)
    private val budget =
        RetryBudget(keptShare = RetryParts.KEPT_SHARE) { RetryParts.ofInstance(settings.retryFloor, watcher.entries) }
    private val availability = UpstreamAvailability(timer, table, { view.drains }) { view.applyRecords(table.all()) }
    private val requestHandler: RequestHandler =
        RequestHandler(
            RelayContext(
                settings,
                timer,
                HttpClient(loop, CONNECT_TIMEOUT_MS),
                placements,
                protocol,
                budget,
                availability,
                limits,
                quarantine,
                RequestLog(registry),
            ),
            revisionCheck::confirm,
        )
    private var isStopping = false
    private val startedMs = timer.nowMs()

    /** True when the load balancer may send new connections to this instance. */
    val isReady: Boolean get() = !isStopping && view.config != null && isTrusted()

    val runningRequests: Int get() = requestHandler.running

    /** The number of requests that wait for the first configuration. */
    val heldRequests: Int get() = requestHandler.heldRequests

    /** The number of known upstreams that have not left. */
    val knownUpstreams: Int get() = table.all().count { it.state != UpstreamState.GONE }

    fun start() {
        pace.start()
        watcher.onConfirmed = ::applyConfig
        watcher.start()
        placements.start()
        timer.every(FORGET_EVERY_MS) {
            table.forgetGone(timer.nowMs())
            limits.forget(table::isPresent)
            quarantine.forget()
        }
        log.event("entry_started", mapOf("instance" to settings.instance, "name" to settings.name))
    }

    fun handle(exchange: Exchange) = requestHandler.handle(exchange)

    /** Reads the addresses of control instances from the settings again. */
    fun reloadSeeds() = watcher.reloadSeeds()

    /**
     * Makes this instance not ready, so that it gets no new connections. Requests that still arrive are served if they can
     * end within [limitMs].
     */
    fun beginStop(limitMs: Long) {
        isStopping = true
        requestHandler.beginStop(timer.nowMs() + limitMs)
        log.event("entry_leaving", mapOf("running" to runningRequests, "limit_ms" to limitMs))
    }

    /** Answers all requests that are still running or held, and each that arrives from now on: the process ends now. */
    fun endAll() = requestHandler.endAll()

    /**
     * True when the configuration may be used. The first answer after a start may come from a control instance that is
     * behind, so an unconfirmed configuration counts only after a wait.
     */
    private fun isTrusted() = watcher.isConfirmed || timer.nowMs() - startedMs > CONFIRM_WAIT_MS

    /** Hands the newest trusted configuration to the request handler. */
    private fun applyConfig() {
        val config = view.config?.takeIf { it.revision != requestHandler.revision && isTrusted() } ?: return
        log.event(
            "configuration_used",
            mapOf(
                "revision" to config.revision,
                "before" to requestHandler.revision,
                "trusted_by" to if (watcher.isConfirmed) "confirmation" else "time_since_start",
            ),
        )
        requestHandler.applyConfig(config)
    }

    private inner class Listener : WatchListener {
        override val revision get() = view.revision
        override val drainVersion get() = view.drains.version

        override fun applyConfig(config: AdoptedConfig) {
            view.applyConfig(config)
            applyConfig()
            timer.after(CONFIRM_WAIT_MS) { applyConfig() }
        }

        override fun applyDrains(drains: DrainedDomains) = view.applyDrains(drains)

        override fun applyRecords(records: List<UpstreamRecord>) {
            val isChanged = records.count { table.merge(it, timer.nowMs()) } > 0
            if (isChanged) view.applyRecords(table.all())
        }

        override fun applyLimits(limits: List<LimitNotice>) {
            this@EntryNode.limits.merge(limits)
        }

        override fun applyBusy(busy: List<BusyUpstream>) = placer.setBusyUpstreams(busy, timer.nowMs())

        override fun applyQuarantines(quarantines: List<QuarantineNotice>) = quarantine.merge(quarantines)

        override fun quarantines() = quarantine.all()

        override fun departed() = table.all().filter { it.state != UpstreamState.READY }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 400
        const val FORGET_EVERY_MS = 10_000L
        const val CONFIRM_WAIT_MS = 3_000L
        val log = KeyValueLog("entry")
    }
}
