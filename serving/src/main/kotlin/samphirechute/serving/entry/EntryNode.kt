package samphirechute.serving.entry

import io.prometheus.metrics.model.registry.PrometheusRegistry
import samphirechute.core.log.KeyValueLog
import samphirechute.net.EventLoop
import samphirechute.net.Exchange
import samphirechute.net.HttpClient
import samphirechute.net.peer.PeerClient
import samphirechute.routing.flow.RetryBudget
import samphirechute.routing.placing.Placer
import samphirechute.serving.cluster.ConfigReader
import samphirechute.serving.cluster.DrainedDomains
import samphirechute.serving.cluster.ServingSettings
import samphirechute.serving.cluster.UpstreamAvailability
import samphirechute.serving.cluster.UpstreamRecord
import samphirechute.serving.cluster.UpstreamState
import samphirechute.serving.cluster.UpstreamTable
import samphirechute.serving.cluster.UpstreamView
import samphirechute.serving.cluster.WatchListener
import samphirechute.serving.cluster.Watcher
import samphirechute.serving.placement.PlacementClient
import samphirechute.serving.relay.RelayContext
import samphirechute.serving.relay.RelayProtocol
import samphirechute.serving.relay.RequestHandler
import samphirechute.serving.relay.RequestLog
import samphirechute.state.store.AdoptedConfig

/** An entry instance: takes the requests of callers and relays them. It keeps nothing on disk. */
class EntryNode(
    private val settings: ServingSettings,
    loop: EventLoop,
    reader: ConfigReader,
    protocol: RelayProtocol,
    registry: PrometheusRegistry,
) {
    private val timer = loop.timer
    private val peerClient = PeerClient(HttpClient(loop, CONNECT_TIMEOUT_MS))
    private val placer = Placer(spreadSeed = settings.instance.hashCode())
    private val view = UpstreamView(reader, timer, placer)
    private val table = UpstreamTable()
    private val watcher = Watcher(settings, timer, peerClient, isEntry = true, Sink())
    private val places = PlacementClient(settings.instance, timer, peerClient, watcher, placer)
    private val budget = RetryBudget { settings.retryFloor / watcher.entries }
    private val availability = UpstreamAvailability(timer, table, { view.drains }) { view.applyRecords(table.all()) }
    private val requestHandler =
        RequestHandler(
            RelayContext(
                settings,
                timer,
                HttpClient(loop, CONNECT_TIMEOUT_MS),
                places,
                protocol,
                budget,
                availability,
                RequestLog(registry),
            ),
        )
    private var isLeaving = false
    private val startedMs = timer.nowMs()

    /** True when this instance may get new connections. */
    val isReady: Boolean get() = !isLeaving && view.config != null && isInformed()

    val runningRequests: Int get() = requestHandler.running

    /** Upstreams that are known and have not left. */
    val knownUpstreams: Int get() = table.all().count { it.state != UpstreamState.GONE }

    fun start() {
        watcher.onConfirmed = ::applyConfig
        watcher.start()
        places.start()
        timer.every(FORGET_EVERY_MS) { table.forgetGone(timer.nowMs()) }
        log.event("entry_started", mapOf("instance" to settings.instance, "name" to settings.name))
    }

    fun handle(exchange: Exchange) = requestHandler.handle(exchange)

    /** No more new connections are wanted; requests that come all the same are served. */
    fun leave() {
        isLeaving = true
        log.event("entry_leaving", mapOf("running" to runningRequests))
    }

    /** An instance that has just started may hear first from one that is behind; it waits a while for a better word. */
    private fun isInformed() = watcher.isConfirmed || timer.nowMs() - startedMs > CONFIRM_WAIT_MS

    private fun applyConfig() {
        view.config?.takeIf { it.revision != requestHandler.revision && isInformed() }?.let(requestHandler::applyConfig)
    }

    private inner class Sink : WatchListener {
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

        override fun departed() = table.all().filter { it.state != UpstreamState.READY }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 400
        const val FORGET_EVERY_MS = 10_000L
        const val CONFIRM_WAIT_MS = 3_000L
        val log = KeyValueLog("entry")
    }
}
