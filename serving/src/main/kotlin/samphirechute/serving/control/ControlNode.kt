package samphirechute.serving.control

import io.prometheus.metrics.model.registry.PrometheusRegistry
import samphirechute.core.InstanceId
import samphirechute.core.UpstreamId
import samphirechute.core.log.KeyValueLog
import samphirechute.net.EventLoop
import samphirechute.net.HttpClient
import samphirechute.net.peer.PeerApi
import samphirechute.net.peer.PeerClient
import samphirechute.net.peer.PeerExchange
import samphirechute.routing.limit.UpstreamLimits
import samphirechute.routing.placing.Placer
import samphirechute.routing.quarantine.RequestQuarantine
import samphirechute.serving.cluster.ClusterRoutes
import samphirechute.serving.cluster.ClusterView
import samphirechute.serving.cluster.ConfigReader
import samphirechute.serving.cluster.DrainedDomains
import samphirechute.serving.cluster.LeavingNotice
import samphirechute.serving.cluster.LimitNotice
import samphirechute.serving.cluster.LimitRegistry
import samphirechute.serving.cluster.PaceMonitor
import samphirechute.serving.cluster.QuarantineNotice
import samphirechute.serving.cluster.QuarantineRegistry
import samphirechute.serving.cluster.ServingSettings
import samphirechute.serving.cluster.UpstreamRecord
import samphirechute.serving.cluster.WatchListener
import samphirechute.serving.cluster.Watcher
import samphirechute.serving.cluster.address
import samphirechute.state.store.AdoptedConfig

/**
 * A control instance. It holds a member of the durable store, registers the upstreams that announce themselves, and
 * places requests for all instances while it leads. The platform's control process creates it and calls it on the event
 * loop.
 */
class ControlNode(
    private val settings: ServingSettings,
    private val loop: EventLoop,
    reader: ConfigReader,
    metrics: PrometheusRegistry,
    incarnation: Long = System.currentTimeMillis(),
) : AutoCloseable {
    private val timer = loop.timer
    private val client = PeerClient(HttpClient(loop, CONNECT_TIMEOUT_MS))
    val store: StoreMember = StoreMember(settings, timer, client, loop::post)
    private val upstreamLimits = UpstreamLimits { if (store.isLeader) 1 else store.members.size }
    private val limits = LimitRegistry(settings.instance, timer, upstreamLimits, metrics)
    private val requestQuarantine = RequestQuarantine(settings.instance)
    private val quarantine = QuarantineRegistry(settings.instance, timer, requestQuarantine, metrics)
    private val quarantineStore = QuarantineStore(timer, quarantine, store::recordQuarantine)
    private var isSynchronizing = false
    private val placer =
        Placer(limits = upstreamLimits, quarantine = requestQuarantine, policy = settings.placing).also {
            it.queueObserver = QueueLog(timer, metrics) { it.waiting }
        }
    private val pace = PaceMonitor(placer.pace, metrics)
    private val view = ClusterView(reader, timer, placer)
    val registry: UpstreamRegistry =
        UpstreamRegistry(timer, settings.announceEveryMs, view::isConfigured, ::upstreamsChanged)
    private val watchServer =
        WatchServer(timer, store, registry, limits, quarantine, incarnation) {
            if (store.isLeader) placer.busyUpstreams(timer.nowMs()) else null
        }
    private val retries =
        RetryDesk(
            settings.retryFloor,
            timer,
            { store.term.takeIf { store.isLeader && store.isCurrent } },
            { store.config == null },
            metrics,
        )
    private val placements =
        PlacementCoordinator(
            timer,
            store,
            placer,
            settings.announceEveryMs,
            watchServer::isLost,
            registry::markDraining,
            ::mergeLimits,
            quarantine,
            retries,
        )
    private val watcher = Watcher(settings, timer, client, isEntry = false, Listener())
    private val departures = DepartureReplicator(timer, registry, Peers())

    /** Serves the calls of other instances. */
    val peers =
        PeerApi().also {
            store.serve(it)
            watchServer.serve(it)
            placements.serve(it)
            it.on(ClusterRoutes.leaving, ::applyNotice)
        }

    fun start() {
        pace.start()
        store.onChanged = ::stateChanged
        store.afterDelivery = watchServer::afterDelivery
        watcher.onSeedsChanged = store::updatePeers
        store.start()
        stateChanged()
        registry.start()
        placements.start()
        watcher.start()
        quarantine.onChange = {
            watchServer.onUpstreamsChanged()
            synchronizeQuarantines()
        }
        timer.every(FORGET_EVERY_MS) {
            limits.forget(registry.table::isPresent)
            quarantine.forget()
        }
        log.event("control_started", mapOf("instance" to settings.instance, "name" to settings.name))
    }

    /** Reads the addresses of control instances from the settings again. */
    fun reloadSeeds() = watcher.reloadSeeds()

    /** Records that an upstream has announced that it leaves; [onResult] is true once a majority of the store knows. */
    fun markDraining(
        record: UpstreamRecord,
        onResult: (isAcknowledged: Boolean) -> Unit,
    ) = departures.markDraining(record, onResult)

    /** Records that an upstream has left; [onResult] is true once a majority of the store knows. */
    fun markGone(
        upstream: UpstreamId,
        onResult: (isAcknowledged: Boolean) -> Unit,
    ) = departures.markGone(upstream, onResult)

    /**
     * A notice without a record would end whichever incarnation is known here. It may have been held up on its way, so it
     * counts only while the other instance waits for the answer.
     */
    private fun applyNotice(
        notice: LeavingNotice,
        exchange: PeerExchange<Unit>,
    ) {
        if (notice.record != null) {
            departures.applyNotice(notice)
            return exchange.answer(Unit)
        }
        var isAbandoned = false
        exchange.onAborted { isAbandoned = true }
        timer.after(LATE_NOTICE_CHECK_MS) {
            if (isAbandoned) {
                log.event("notice_dropped", mapOf("upstream" to notice.upstream, "reason" to "caller_left"))
            } else {
                departures.applyNotice(notice)
                exchange.answer(Unit)
            }
        }
    }

    override fun close() = store.close()

    private fun stateChanged() {
        retries.observeLeadership()
        store.config?.takeIf { it.revision > view.revision }?.let { config ->
            val adopted = config.unpack()
            if (adopted == null) log.warn("configuration_damaged", mapOf("revision" to config.revision))
            adopted?.let(view::applyConfig)
        }
        view.applyDrains(watchServer.drainedDomains())
        synchronizeQuarantines()
        watchServer.onStateChanged()
    }

    /** Runs after the change that caused it, since it may change quarantines itself. */
    private fun synchronizeQuarantines() {
        if (isSynchronizing) return
        isSynchronizing = true
        timer.after(0) {
            isSynchronizing = false
            quarantineStore.synchronize(store.state, store.isLeader)
        }
    }

    private fun upstreamsChanged() {
        view.applyRecords(registry.table.all())
        watchServer.onUpstreamsChanged()
    }

    private fun mergeLimits(notices: List<LimitNotice>) {
        if (limits.merge(notices)) watchServer.onUpstreamsChanged()
    }

    private inner class Peers : StorePeers {
        override val hasLeaderContact get() = store.hasLeaderContact
        override val others get() = store.members - settings.instance

        override fun sendNotice(
            member: InstanceId,
            notice: LeavingNotice,
            onResult: (isAcknowledged: Boolean) -> Unit,
        ) {
            val address = member.address ?: return onResult(false)
            client.call(address, ClusterRoutes.leaving, notice, NOTICE_TIMEOUT_MS) { onResult(it.isOk) }
        }
    }

    /** Accepts only records of upstreams from other instances; the durable state comes through the replicated log. */
    private inner class Listener : WatchListener {
        override val revision = Long.MAX_VALUE
        override val drainVersion = Long.MAX_VALUE

        override fun applyConfig(config: AdoptedConfig) = Unit

        override fun applyDrains(drains: DrainedDomains) = Unit

        override fun applyRecords(records: List<UpstreamRecord>) = registry.mergeRecords(records)

        override fun applyLimits(limits: List<LimitNotice>) = mergeLimits(limits)

        override fun applyQuarantines(quarantines: List<QuarantineNotice>) = quarantine.merge(quarantines)

        override fun quarantines() = quarantine.all()
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 400
        const val NOTICE_TIMEOUT_MS = 600L

        /** Enough to notice that the connection of a call that was held up has been closed behind it. */
        const val LATE_NOTICE_CHECK_MS = 20L
        const val FORGET_EVERY_MS = 10_000L
        val log = KeyValueLog("control")
    }
}
