package samphirechute.serving.cluster

import com.github.michaelbull.result.fold
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.TimerService
import samphirechute.net.peer.PeerClient
import samphirechute.net.peer.PeerError
import samphirechute.state.store.AdoptedConfig
import kotlin.random.Random

/** What a process learns from the control instances. Revisions and versions only grow within one life of a process. */
interface WatchListener {
    val revision: Long
    val drainVersion: Long

    fun applyConfig(config: AdoptedConfig)

    fun applyDrains(drains: DrainedDomains)

    fun applyRecords(records: List<UpstreamRecord>)

    /** Upstreams that leave or have left. */
    fun departed(): List<UpstreamRecord> = emptyList()
}

/**
 * Follows control instances: one open question to each, which is answered when there is news or after a second. So news
 * arrives at once, and an instance that is silent is noticed within two seconds. The content of a configuration comes from
 * the leader, or else is fetched from one of them only; an entry instance takes the records of upstreams from two.
 */
class Watcher(
    private val settings: ServingSettings,
    private val timer: TimerService,
    private val client: PeerClient,
    private val isEntry: Boolean,
    private val sink: WatchListener,
    private val random: Random = Random.Default,
) {
    private val log = KeyValueLog("watch")
    private val choice = FollowChoice(isEntry)
    private val known = LinkedHashSet<InstanceId>()
    private val links = LinkedHashMap<InstanceId, Link>()

    /** The instance that leads, as the instance that was heard last and is in touch with it says. */
    var leader: InstanceId? = null
        private set

    var onLeaderChanged: () -> Unit = {}

    /** True once the newest configuration of an instance in touch with a majority has been in force here. */
    var isConfirmed = false
        private set
    var onConfirmed: () -> Unit = {}
    private var isFetching = false

    /** The instance whose last fetch failed; others are tried before it. */
    private var failedSource: InstanceId? = null

    /** The newest revision whose content has come, be it readable or not. */
    private var fetchedRevision = 0L

    /** The number of entry instances, at least 1. A control instance counts only those that follow it. */
    val entries: Int get() = maxOf(1, links.values.filter { it.isUp }.maxOfOrNull { it.saidEntries } ?: 1)

    fun start() = learn(settings.seeds.map { InstanceId(it.toString()) })

    /** Control instances that answered lately. */
    fun reachable(): List<InstanceId> = links.values.filter { it.isUp }.map { it.instance }

    fun isReachable(instance: InstanceId) = links[instance]?.isUp ?: false

    private fun learn(instances: List<InstanceId>) {
        known += instances - settings.instance
        follow()
    }

    private fun follow() {
        val wanted = chosen()
        for (instance in wanted - links.keys) {
            val address = instance.address ?: continue
            links[instance] = Link(instance, address).also { it.ask() }
        }
    }

    private fun chosen(): Set<InstanceId> {
        val silent =
            links.values
                .filter { it.isSilent }
                .map { it.instance }
                .toSet()
        return choice.choose(known, silent, leader?.takeIf { it != settings.instance })
    }

    private fun heard(
        link: Link,
        reply: WatchReply,
    ) {
        if (reply.isCurrent) {
            if (reply.leader != leader) {
                log.event("leader_changed", mapOf("leader" to reply.leader, "from" to link.instance))
                leader = reply.leader
                onLeaderChanged()
            }
        }
        reply.drains?.let { if (it.version > sink.drainVersion) sink.applyDrains(it) }
        if (reply.records.isNotEmpty()) sink.applyRecords(reply.records)
        learn(reply.members)
        reply.config?.let { received(it, link) }
        fetchNewest()
        confirm()
    }

    private fun confirm() {
        if (isConfirmed || links.values.none { it.isUp && it.isCurrent && it.saidRevision <= sink.revision }) return
        isConfirmed = true
        onConfirmed()
    }

    /** Fetches the content of the newest configuration that an instance names, from one that did not fail just now. */
    private fun fetchNewest() {
        if (isFetching) return
        val held = maxOf(sink.revision, fetchedRevision)
        val sources = links.values.filter { it.isUp && it.saidRevision > held }
        val source = sources.firstOrNull { it.instance != failedSource } ?: sources.firstOrNull() ?: return
        isFetching = true
        client.call(source.address, ClusterRoutes.config, ConfigRequest(held), FETCH_TIMEOUT_MS) { result ->
            isFetching = false
            result.fold({ fetched(it, source) }) { error ->
                log.event("configuration_fetch_failed", mapOf("from" to source.instance, "error" to error.detail))
                fetchElsewhere(source)
            }
        }
    }

    private fun fetched(
        reply: ConfigReply,
        source: Link,
    ) {
        if (!received(reply.config, source)) return fetchElsewhere(source)
        failedSource = null
        confirm()
        fetchNewest()
    }

    private fun received(
        packed: PackedConfig?,
        source: Link,
    ): Boolean {
        val config = packed?.unpack()
        if (config == null) {
            log.warn("configuration_damaged", mapOf("from" to source.instance, "revision" to packed?.revision))
            return false
        }
        fetchedRevision = maxOf(fetchedRevision, config.revision)
        if (config.revision > sink.revision) sink.applyConfig(config)
        return true
    }

    private fun fetchElsewhere(failed: Link) {
        failedSource = failed.instance
        timer.after(RETRY_MS) { fetchNewest() }
    }

    /** True for the leader and one more instance that is not silent; a control instance takes records from all. */
    private fun isRecordSource(link: Link): Boolean {
        if (!isEntry) return true
        val sources = links.values.filter { !it.isSilent }.sortedBy { it.instance != leader }
        return link in sources.take(RECORD_LINKS)
    }

    private inner class Link(
        val instance: InstanceId,
        val address: HostPort,
    ) {
        var isUp = false

        /** What the instance said last: whether it is in touch with a majority, and its revision. */
        var isCurrent = false
            private set
        var saidRevision = 0L
            private set
        private var life = 0L
        private var recordsVersion = 0L
        private var saidLeader: InstanceId? = null
        private var isLifeNew = false
        var saidEntries = 0
            private set
        private var failures = 0
        val isSilent get() = failures > 0

        fun ask() {
            if (instance !in chosen()) {
                links -= instance
                return
            }
            val takesRecords = isRecordSource(this)
            val request =
                WatchRequest(
                    settings.instance,
                    isEntry,
                    maxOf(sink.revision, saidRevision),
                    sink.drainVersion,
                    life,
                    if (takesRecords) recordsVersion else WatchRequest.NO_RECORDS,
                    saidLeader,
                    if (isLifeNew) sink.departed() else emptyList(),
                )
            client.call(address, ClusterRoutes.watch, request, TIMEOUT_MS) { result ->
                result.fold({ answered(it, takesRecords) }, ::failed)
            }
        }

        private fun answered(
            reply: WatchReply,
            takesRecords: Boolean,
        ) {
            if (!isUp) log.event("control_reached", mapOf("instance" to instance, "failures" to failures))
            isUp = true
            failures = 0
            isLifeNew = life != reply.life
            if (takesRecords) {
                life = reply.life
                recordsVersion = reply.recordsVersion
            } else if (life != reply.life) {
                life = reply.life
                recordsVersion = 0
            }
            isCurrent = reply.isCurrent
            saidRevision = reply.revision
            saidEntries = reply.entries
            saidLeader = reply.leader.takeIf { reply.isCurrent }
            heard(this, reply)
            timer.after(PAUSE_MS) { ask() }
        }

        private fun failed(error: PeerError) {
            if (isUp || failures == 0) log.event("control_lost", mapOf("instance" to instance, "error" to error.detail))
            isUp = false
            failures++
            if (failures > FORGET_AFTER && instance.address !in settings.seeds) {
                links -= instance
                known -= instance
                return
            }
            follow()
            timer.after(reconnectDelayMs(failures, random)) { ask() }
        }
    }

    private companion object {
        /** Longer than a control instance keeps a question open. */
        const val TIMEOUT_MS = 1_600L
        const val FETCH_TIMEOUT_MS = 500L

        /** One may be lost or silent at any moment. */
        const val RECORD_LINKS = 2

        /** Gathers changes that come together. */
        const val PAUSE_MS = 20L
        const val RETRY_MS = 150L
        const val FORGET_AFTER = 200
    }
}
