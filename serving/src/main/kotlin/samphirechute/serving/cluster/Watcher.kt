package samphirechute.serving.cluster

import com.github.michaelbull.result.fold
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.Subscription
import samphirechute.core.time.TimerService
import samphirechute.net.peer.PeerClient
import samphirechute.net.peer.PeerError
import samphirechute.routing.placing.BusyUpstream
import samphirechute.state.store.AdoptedConfig
import kotlin.random.Random

/**
 * Receives what a [Watcher] learns from the control instances. Revisions and versions only grow while a process runs.
 */
interface WatchListener {
    /** The revision of the configuration in force here. */
    val revision: Long

    /** The version of the drains that apply here. */
    val drainVersion: Long

    fun applyConfig(config: AdoptedConfig)

    fun applyDrains(drains: DrainedDomains)

    fun applyRecords(records: List<UpstreamRecord>)

    fun applyLimits(limits: List<LimitNotice>) = Unit

    fun applyQuarantines(quarantines: List<QuarantineNotice>) = Unit

    fun applyBusy(busy: List<BusyUpstream>) = Unit

    /** The quarantines of prompts that this instance knows. */
    fun quarantines(): List<QuarantineNotice> = emptyList()

    /** Upstreams that are leaving or have left, as this instance knows them. */
    fun departed(): List<UpstreamRecord> = emptyList()
}

/**
 * Follows control instances with one long poll to each, which is answered when there is something new or after a
 * second. So changes arrive at once, and a silent instance is noticed within two seconds. The content of a
 * configuration comes from the leader, or is fetched from one instance only; an entry instance takes the records of
 * upstreams from two. Entry and control instances each own one and pass what it learns to their [WatchListener].
 */
class Watcher(
    private val settings: ServingSettings,
    private val timer: TimerService,
    private val client: PeerClient,
    private val isEntry: Boolean,
    private val listener: WatchListener,
    private val random: Random = Random.Default,
) {
    private val log = KeyValueLog("watch")
    private val policy = FollowPolicy(isEntry)
    private val known = LinkedHashSet<InstanceId>()
    private var seeds = settings.seeds
    private val links = LinkedHashMap<InstanceId, Link>()

    /** The leader of the store, as named by the last answer from an instance that has contact with it. */
    var leader: InstanceId? = null
        private set

    var onLeaderChanged: () -> Unit = {}

    /**
     * True once the configuration in force here was the newest one of the leader, or of several followers in contact with
     * it, and no instance in contact named a newer one.
     */
    var isConfirmed = false
        private set
    var onConfirmed: () -> Unit = {}
    private var isFetching = false

    /** The instance from which the last fetch failed; others are tried before it. */
    private var failedSource: InstanceId? = null

    /** The newest revision whose content is in force here or could not be read. */
    private var fetchedRevision = 0L

    /** The newest revision that has been logged as received, and that as not applied, since both may come again. */
    private var receivedRevision = 0L
    private var failedRevision = 0L

    /** How often in a row a configuration could not be put in force, and the wait before the next attempt. */
    private var applyFailures = 0
    private var retry: Subscription? = null

    /** The lowest revision that has been logged as older than the one in force. */
    private var regressedBelow = Long.MAX_VALUE

    private val entryCount = InstanceCount(timer)

    /**
     * The number of entry instances, at least 1. A control instance counts only those that follow it, so the highest
     * count of the last minute holds, also while none can be reached.
     */
    val entries: Int get() = entryCount.value

    /** Called with addresses of control instances that the settings name now. */
    var onSeedsChanged: (List<HostPort>) -> Unit = {}

    fun start() {
        addInstances(seeds.map { InstanceId(it.toString()) })
        timer.every(SEEDS_CHECK_MS) { if (isOutOfContact) reloadSeeds() }
    }

    /** True while no control instance answers that is in contact with the leader. */
    private val isOutOfContact get() = links.values.none { it.isUp && it.isCurrent }

    /**
     * Follows the control instances that the settings name now. All that this instance knows may have been replaced while it
     * had no contact to them.
     */
    fun reloadSeeds() {
        val next = settings.readSeeds()
        if (next.isEmpty() || next == seeds) return
        log.event("seeds_changed", mapOf("seeds" to next, "before" to seeds, "in_contact" to !isOutOfContact))
        seeds = next
        addInstances(next.map { InstanceId(it.toString()) })
        onSeedsChanged(next)
    }

    /** The control instances whose last call succeeded. */
    fun reachable(): List<InstanceId> = links.values.filter { it.isUp }.map { it.instance }

    fun isReachable(instance: InstanceId) = links[instance]?.isUp ?: false

    /** Notes the newest revision that [instance] has named outside its answers to polls, and fetches it if it is newer. */
    fun noteRevision(
        instance: InstanceId,
        revision: Long,
    ) {
        links[instance]?.noteRevision(revision)
        fetchNewest()
    }

    private fun addInstances(instances: List<InstanceId>) {
        known += instances - settings.instance
        openLinks()
    }

    /** Starts to poll the chosen instances that are not polled yet. */
    private fun openLinks() {
        val followed = followedInstances()
        for (instance in followed - links.keys) {
            val address = instance.address ?: continue
            links[instance] = Link(instance, address).also { it.poll() }
        }
    }

    private fun followedInstances(): Set<InstanceId> {
        val unusable =
            links.values
                .filter { it.isSilent || it.isOutOfContact }
                .map { it.instance }
                .toSet()
        return policy.choose(known, unusable, leader?.takeIf { it != settings.instance })
    }

    /** Notes the leader first, since the choice of instances to follow depends on it. */
    private fun handleReply(
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
        reply.drains?.let { if (it.version > listener.drainVersion) listener.applyDrains(it) }
        if (reply.records.isNotEmpty()) listener.applyRecords(reply.records)
        if (reply.limits.isNotEmpty()) listener.applyLimits(reply.limits)
        if (reply.quarantines.isNotEmpty()) listener.applyQuarantines(reply.quarantines)
        reply.busy?.let(listener::applyBusy)
        addInstances(reply.members)
        link.position = reply.position
        if (isEntry) logRegression(link)
        reply.config?.let { acceptContent(it, link) }
        fetchNewest()
        updateConfirmed()
    }

    /**
     * Logs each older revision once that the leader names. The store has lost the newer one then, unless this answer was
     * overtaken or the leader has just been replaced.
     */
    private fun logRegression(link: Link) {
        if (!link.isLeader || link.lastRevision >= minOf(listener.revision, regressedBelow)) return
        regressedBelow = link.lastRevision
        val fields = mapOf("revision" to link.lastRevision, "held" to listener.revision, "leader" to link.instance)
        log.warn("configuration_regressed", fields + mapOf("position" to link.position))
    }

    private fun updateConfirmed() {
        if (isConfirmed || listener.revision == 0L) return
        val current = links.values.filter { it.isUp && it.isCurrent }
        val sources = current.filter { it.lastRevision == listener.revision }
        // A follower may be catching up, so one alone confirms nothing.
        val isEnough = sources.size >= CONFIRMING_FOLLOWERS || sources.any { it.isLeader }
        if (!isEnough || current.any { it.lastRevision > listener.revision }) return
        isConfirmed = true
        log.event(
            "configuration_confirmed",
            mapOf(
                "revision" to listener.revision,
                "by" to sources.joinToString(",") { "${it.instance}/${it.position?.term}/${it.position?.index}" },
            ),
        )
        onConfirmed()
    }

    /** Fetches a newer configuration from an instance that names one, avoiding the one that has just failed. */
    private fun fetchNewest() {
        if (isFetching || retry != null) return
        val held = maxOf(listener.revision, fetchedRevision)
        val sources = links.values.filter { it.isUp && it.lastRevision > held }
        val source = sources.firstOrNull { it.instance != failedSource } ?: sources.firstOrNull() ?: return
        isFetching = true
        client.call(source.address, ClusterRoutes.fetchConfig, ConfigRequest(held), FETCH_TIMEOUT_MS) { result ->
            isFetching = false
            result.fold({ onFetched(it, source) }) { error ->
                log.event("configuration_fetch_failed", mapOf("from" to source.instance, "error" to error.detail))
                retryElsewhere(source)
            }
        }
    }

    private fun onFetched(
        reply: ConfigReply,
        source: Link,
    ) {
        if (!acceptContent(reply.config, source)) return retryElsewhere(source)
        failedSource = null
        source.noteRevision(reply.config?.revision ?: 0)
        updateConfirmed()
        fetchNewest()
    }

    /** Passes a configuration on if it is newer than the one in force; false when it is missing, damaged or not applied. */
    private fun acceptContent(
        packed: PackedConfig?,
        source: Link,
    ): Boolean {
        val config = packed?.unpack()
        if (config == null) {
            log.warn("configuration_damaged", mapOf("from" to source.instance, "revision" to packed?.revision))
            return false
        }
        if (config.revision > receivedRevision) {
            receivedRevision = config.revision
            log.event(
                "configuration_received",
                mapOf(
                    "revision" to config.revision,
                    "digest" to packed.digest,
                    "held" to listener.revision,
                    "from" to source.instance,
                    "current" to source.isCurrent,
                    "index" to source.position?.index,
                    "term" to source.position?.term,
                    "leader" to source.position?.leader,
                ),
            )
        }
        if (config.revision > listener.revision && !apply(config, source)) return false
        fetchedRevision = maxOf(fetchedRevision, config.revision)
        return true
    }

    /** Returns false if putting the configuration in force failed, so that it is fetched again after a growing wait. */
    @Suppress("TooGenericExceptionCaught")
    private fun apply(
        config: AdoptedConfig,
        source: Link,
    ): Boolean =
        try {
            listener.applyConfig(config)
            applyFailures = 0
            true
        } catch (error: Exception) {
            if (config.revision > failedRevision) {
                failedRevision = config.revision
                val fields = mapOf("from" to source.instance, "revision" to config.revision, "error" to error)
                log.warn("configuration_not_applied", fields, error)
            }
            retryLater()
            false
        }

    private fun retryLater() {
        if (retry != null) return
        retry =
            timer.after(reconnectDelayMs(++applyFailures, random)) {
                retry = null
                fetchNewest()
            }
    }

    /** Handles an answer of [link]. An exception is logged, since the polls must go on. */
    @Suppress("TooGenericExceptionCaught")
    private fun handleLogged(
        link: Link,
        reply: WatchReply,
    ) = try {
        handleReply(link, reply)
    } catch (error: Exception) {
        log.warn("answer_not_handled", mapOf("from" to link.instance, "error" to error), error)
    }

    private fun retryElsewhere(failed: Link) {
        failedSource = failed.instance
        timer.after(FETCH_RETRY_MS) { fetchNewest() }
    }

    /** True for the leader and one more instance that answers; a control instance takes records from all. */
    private fun isRecordSource(link: Link): Boolean {
        if (!isEntry) return true
        val sources = links.values.filter { !it.isSilent }.sortedBy { it.instance != leader }
        return link in sources.take(RECORD_SOURCES)
    }

    /** The long polls to one control instance, and what it has reported. */
    private inner class Link(
        val instance: InstanceId,
        val address: HostPort,
    ) {
        var isUp = false

        /** What the instance reported last: whether it has contact with a majority, and its revision. */
        var isCurrent = false
            private set
        var lastRevision = 0L
            private set

        /** Where the store of the instance stood at its last answer. */
        var position: LogPosition? = null
        private var incarnation = 0L
        private var recordsVersion = 0L
        private var limitsVersion = 0L
        private var quarantineVersion = 0L
        private var reportedLeader: InstanceId? = null

        /** True after the first answer of a new incarnation; the next poll sends it the departed upstreams. */
        private var isIncarnationNew = false
        private var failures = 0
        val isSilent get() = failures > 0

        /** True if the instance has named itself as the leader. */
        val isLeader get() = reportedLeader == instance

        /** True while the instance answers without contact to a majority, so that it may never learn of changes. */
        val isOutOfContact get() = isUp && !isCurrent

        /** Notes that the instance holds a revision, which may be newer than its last answer to a poll. */
        fun noteRevision(revision: Long) {
            lastRevision = maxOf(lastRevision, revision)
        }

        fun poll() {
            if (instance !in followedInstances()) {
                links -= instance
                return
            }
            val takesRecords = isRecordSource(this)
            val request =
                WatchRequest(
                    settings.instance,
                    isEntry,
                    maxOf(listener.revision, lastRevision),
                    listener.drainVersion,
                    incarnation,
                    if (takesRecords) recordsVersion else WatchRequest.NO_RECORDS,
                    reportedLeader,
                    if (isIncarnationNew) listener.departed() else emptyList(),
                    if (takesRecords) limitsVersion else WatchRequest.NO_RECORDS,
                    quarantineVersion,
                    if (isIncarnationNew) listener.quarantines() else emptyList(),
                )
            client.call(address, ClusterRoutes.watch, request, POLL_TIMEOUT_MS) { result ->
                result.fold({ onAnswer(it, takesRecords) }, ::onFailure)
            }
        }

        private fun onAnswer(
            reply: WatchReply,
            takesRecords: Boolean,
        ) {
            if (!isUp) log.event("control_reached", mapOf("instance" to instance, "failures" to failures))
            isUp = true
            failures = 0
            isIncarnationNew = incarnation != reply.incarnation
            quarantineVersion = reply.quarantineVersion
            if (takesRecords) {
                incarnation = reply.incarnation
                recordsVersion = reply.recordsVersion
                limitsVersion = reply.limitsVersion
            } else if (incarnation != reply.incarnation) {
                // A new incarnation counts the versions of its records from the start.
                incarnation = reply.incarnation
                recordsVersion = 0
                limitsVersion = 0
            }
            isCurrent = reply.isCurrent
            lastRevision = reply.revision
            entryCount.record(reply.entries, reply.isCurrent)
            reportedLeader = reply.leader.takeIf { reply.isCurrent }
            handleLogged(this, reply)
            timer.after(POLL_PAUSE_MS) { poll() }
        }

        private fun onFailure(error: PeerError) {
            if (isUp || failures == 0) log.event("control_lost", mapOf("instance" to instance, "error" to error.detail))
            isUp = false
            failures++
            if (failures > FORGET_AFTER_FAILURES && instance.address !in seeds) {
                links -= instance
                known -= instance
                return
            }
            openLinks()
            timer.after(reconnectDelayMs(failures, random)) { poll() }
        }
    }

    private companion object {
        /** Longer than the second for which a control instance holds a long poll. */
        const val POLL_TIMEOUT_MS = 1_600L
        const val FETCH_TIMEOUT_MS = 500L

        /** Two, since one may be lost or silent at any moment. */
        const val RECORD_SOURCES = 2

        /** Lets changes that come together share one answer. */
        const val POLL_PAUSE_MS = 20L
        const val FETCH_RETRY_MS = 150L
        const val CONFIRMING_FOLLOWERS = 2
        const val FORGET_AFTER_FAILURES = 200
        const val SEEDS_CHECK_MS = 1_000L
    }
}
