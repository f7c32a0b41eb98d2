package samphirechute.serving.control

import samphirechute.core.InstanceId
import samphirechute.core.UpstreamId
import samphirechute.core.log.KeyValueLog
import samphirechute.net.EventLoop
import samphirechute.net.HttpClient
import samphirechute.net.peer.PeerApi
import samphirechute.net.peer.PeerClient
import samphirechute.routing.placing.Placer
import samphirechute.serving.cluster.ClusterRoutes
import samphirechute.serving.cluster.ConfigReader
import samphirechute.serving.cluster.DrainedDomains
import samphirechute.serving.cluster.LeavingNotice
import samphirechute.serving.cluster.ServingSettings
import samphirechute.serving.cluster.UpstreamRecord
import samphirechute.serving.cluster.UpstreamView
import samphirechute.serving.cluster.WatchListener
import samphirechute.serving.cluster.Watcher
import samphirechute.serving.cluster.address
import samphirechute.state.store.AdoptedConfig

/** A control instance: the durable state, the announcements of upstreams, and the placement of requests. */
class ControlNode(
    private val settings: ServingSettings,
    private val loop: EventLoop,
    reader: ConfigReader,
    life: Long = System.currentTimeMillis(),
) : AutoCloseable {
    private val timer = loop.timer
    private val client = PeerClient(HttpClient(loop, CONNECT_TIMEOUT_MS))
    private val placer = Placer()
    private val view = UpstreamView(reader, timer, placer)

    val store = StoreKeeper(settings, timer, client, loop::post)
    val registrar: Registrar = Registrar(timer, settings.announceEveryMs, ::upstreamsChanged)
    private val watches = WatchDesk(timer, store, registrar, life)
    private val places = PlaceDesk(timer, store, placer, settings.announceEveryMs, watches::isGone, registrar::leaving)
    private val watcher = Watcher(settings, timer, client, isEntry = false, Sink())
    private val leavings = LeavingDesk(timer, registrar, Members())

    /** The paths for other instances. */
    val peers =
        PeerApi().also {
            store.serve(it)
            watches.serve(it)
            places.serve(it)
            it.on(ClusterRoutes.leaving) { notice, exchange ->
                leavings.noticed(notice)
                exchange.answer(Unit)
            }
        }

    fun start() {
        store.onChanged = ::stateChanged
        store.whenSent = watches::whenSent
        store.start()
        stateChanged()
        registrar.start()
        places.start()
        watcher.start()
        log.event("control_started", mapOf("instance" to settings.instance, "name" to settings.name))
    }

    /** An upstream says that it leaves; [onResult] gets whether all instances in touch will hear of it. */
    fun leaves(
        record: UpstreamRecord,
        onResult: (isAcknowledged: Boolean) -> Unit,
    ) = leavings.leaves(record, onResult)

    fun left(
        upstream: UpstreamId,
        onResult: (isAcknowledged: Boolean) -> Unit,
    ) = leavings.left(upstream, onResult)

    override fun close() = store.close()

    private fun stateChanged() {
        store.config?.takeIf { it.revision > view.revision }?.let { config ->
            val adopted = config.unpack()
            if (adopted == null) log.warn("configuration_damaged", mapOf("revision" to config.revision))
            adopted?.let(view::applyConfig)
        }
        view.applyDrains(watches.drains())
        watches.changed()
    }

    private fun upstreamsChanged() {
        view.applyRecords(registrar.table.all())
        watches.recordsChanged()
    }

    private inner class Members : StoreMembers {
        override val isInTouch get() = store.isInTouch
        override val others get() = store.members - settings.instance

        override fun tell(
            member: InstanceId,
            notice: LeavingNotice,
            onResult: (isTaken: Boolean) -> Unit,
        ) {
            val address = member.address ?: return onResult(false)
            client.call(address, ClusterRoutes.leaving, notice, NOTICE_TIMEOUT_MS) { onResult(it.isOk) }
        }
    }

    /** Only announcements are taken from other control instances; the durable state comes through the log. */
    private inner class Sink : WatchListener {
        override val revision = Long.MAX_VALUE
        override val drainVersion = Long.MAX_VALUE

        override fun applyConfig(config: AdoptedConfig) = Unit

        override fun applyDrains(drains: DrainedDomains) = Unit

        override fun applyRecords(records: List<UpstreamRecord>) = registrar.learned(records)
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 400
        const val NOTICE_TIMEOUT_MS = 600L
        val log = KeyValueLog("control")
    }
}
