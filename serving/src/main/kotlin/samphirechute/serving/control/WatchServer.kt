package samphirechute.serving.control

import samphirechute.core.InstanceId
import samphirechute.core.time.Subscription
import samphirechute.core.time.TimerService
import samphirechute.net.peer.PeerApi
import samphirechute.net.peer.PeerExchange
import samphirechute.routing.placing.BusyUpstream
import samphirechute.serving.cluster.ClusterRoutes
import samphirechute.serving.cluster.ConfigReply
import samphirechute.serving.cluster.DrainedDomains
import samphirechute.serving.cluster.LimitRegistry
import samphirechute.serving.cluster.QuarantineRegistry
import samphirechute.serving.cluster.WatchReply
import samphirechute.serving.cluster.WatchRequest
import samphirechute.serving.cluster.drainedDomains

/**
 * Answers the watch requests of other instances. Each request is a long poll: it is answered as soon as this instance
 * has something newer than the sender, or after a second. Owns the list of entry instances that follow this one.
 */
class WatchServer(
    private val timer: TimerService,
    private val store: StoreMember,
    private val registry: UpstreamRegistry,
    private val limits: LimitRegistry,
    private val quarantine: QuarantineRegistry,
    private val incarnation: Long,
    /** Returns the engines with long prompts left to prefill, or null while this instance does not place for all. */
    private val busyUpstreams: () -> List<BusyUpstream>? = { null },
) {
    /** The requests that wait for an answer, at most one for each instance. */
    private val longPolls = LinkedHashMap<InstanceId, LongPoll>()
    private val entryLastSeenMs = HashMap<InstanceId, Long>()

    /** The newest revision that each entry instance has been sent. */
    private val deliveredRevisions = HashMap<InstanceId, Long>()

    /** Acknowledgements that wait until their revision has been sent to the entry instances. */
    private val deferred = ArrayList<DeferredAction>()
    private var isAnswerScheduled = false
    private var isControlUpdateScheduled = false
    private var isEntryUpdateScheduled = false

    fun serve(api: PeerApi) {
        api.on(ClusterRoutes.watch) { request, exchange ->
            if (request.isEntry) entryLastSeenMs[request.from] = timer.nowMs()
            // Merged before the answer is composed, so that the answer includes them.
            if (request.departed.isNotEmpty()) registry.mergeRecords(request.departed)
            if (request.quarantines.isNotEmpty()) quarantine.merge(request.quarantines)
            longPolls.remove(request.from)?.timeout?.cancel()
            if (isOutdated(request) && !waitsForRecordsOnly(request)) {
                exchange.answer(reply(request))
                if (deferred.isNotEmpty()) timer.after(0) { runDeferred() }
            } else {
                holdOpen(request, exchange)
            }
        }
        api.on(ClusterRoutes.fetchConfig) { request, exchange ->
            exchange.answer(ConfigReply(store.config?.takeIf { request.revision < it.revision }))
        }
    }

    /** Answers for a change of the durable state; changes within one turn of the event loop share one answer. */
    fun onStateChanged() {
        if (isAnswerScheduled) return
        isAnswerScheduled = true
        timer.after(0) {
            isAnswerScheduled = false
            answerOutdated { true }
            runDeferred()
        }
    }

    /**
     * Answers for changed records and limits of upstreams. Changes within a short time, as during a release, share one
     * answer. The many entry instances get it less often than the few control instances, one of which places the
     * requests.
     */
    fun onUpstreamsChanged() {
        if (isControlUpdateScheduled) return
        isControlUpdateScheduled = true
        timer.after(CONTROL_RECORDS_DELAY_MS) {
            isControlUpdateScheduled = false
            answerOutdated { !it.isEntry }
        }
        if (isEntryUpdateScheduled) return
        isEntryUpdateScheduled = true
        timer.after(ENTRY_RECORDS_DELAY_MS) {
            isEntryUpdateScheduled = false
            answerOutdated { it.isEntry }
        }
    }

    /**
     * Runs [action], which acknowledges a change, once the entry instances that follow this one have been sent the
     * configuration of [revision], or after a time limit. So entry instances hold an acknowledged change even if all
     * control instances are lost right afterwards.
     */
    fun afterDelivery(
        revision: Long,
        action: () -> Unit,
    ) {
        if (isDeliveredToAll(revision)) return action()
        val deferredAction = DeferredAction(revision, action)
        deferred += deferredAction
        timer.after(DELIVERY_LIMIT_MS) { if (deferred.remove(deferredAction)) action() }
    }

    private fun isDeliveredToAll(revision: Long): Boolean {
        val nowMs = timer.nowMs()
        return entryLastSeenMs.none { (entry, lastSeenMs) ->
            nowMs - lastSeenMs <= LOST_AFTER_MS && (deliveredRevisions[entry] ?: 0) < revision
        }
    }

    private fun runDeferred() {
        val ready = deferred.filter { isDeliveredToAll(it.revision) }
        deferred -= ready.toSet()
        ready.forEach { it.action() }
    }

    /** Answers the outdated requests that [isDue] selects. Most get the same answer, which is encoded once. */
    private fun answerOutdated(isDue: (WatchRequest) -> Boolean) {
        val encoded = HashMap<WatchReply, ByteArray>()
        for (longPoll in longPolls.values.filter { isDue(it.request) && isOutdated(it.request) }) {
            val reply = reply(longPoll.request)
            close(longPoll)
            longPoll.exchange.answerEncoded(encoded.getOrPut(reply) { longPoll.exchange.encode(reply) })
        }
    }

    private val revision: Long get() = store.config?.revision ?: 0

    /** The number of entry instances that have sent a request lately. */
    fun entryCount(): Int {
        entryLastSeenMs.values.removeIf { timer.nowMs() - it > ENTRY_KEEP_MS }
        deliveredRevisions.keys.retainAll(entryLastSeenMs.keys)
        return entryLastSeenMs.size
    }

    /** True for an entry instance that has sent requests before and has stopped. */
    fun isLost(instance: InstanceId): Boolean {
        val lastSeenMs = entryLastSeenMs[instance] ?: return false
        return timer.nowMs() - lastSeenMs > LOST_AFTER_MS
    }

    private fun holdOpen(
        request: WatchRequest,
        exchange: PeerExchange<WatchReply>,
    ) {
        lateinit var longPoll: LongPoll
        longPoll = LongPoll(request, exchange, timer.after(LONG_POLL_MS) { answer(longPoll) })
        longPolls[request.from] = longPoll
        exchange.onAborted {
            longPoll.timeout.cancel()
            longPolls.remove(request.from, longPoll)
        }
    }

    private fun answer(longPoll: LongPoll) {
        close(longPoll)
        longPoll.exchange.answer(reply(longPoll.request))
    }

    private fun close(longPoll: LongPoll) {
        longPoll.timeout.cancel()
        longPolls.remove(longPoll.request.from, longPoll)
    }

    /** True when this instance has something that the sender of [request] does not have. */
    private fun isOutdated(request: WatchRequest) =
        request.incarnation != incarnation || request.recordsVersion < registry.table.version ||
            request.limitsVersion < limits.version || request.quarantineVersion < quarantine.version ||
            (store.isCurrent && request.leader != store.leader) ||
            request.revision < revision || request.drainVersion < store.state.drainVersion

    /** True for an entry instance that lacks only records and limits, which the scheduled update will bring. */
    private fun waitsForRecordsOnly(request: WatchRequest) =
        request.isEntry && isEntryUpdateScheduled &&
            !isOutdated(
                request.copy(
                    recordsVersion = registry.table.version,
                    limitsVersion = limits.version,
                    quarantineVersion = quarantine.version,
                ),
            )

    private fun reply(request: WatchRequest): WatchReply {
        val isKnown = request.incarnation == incarnation || request.recordsVersion == WatchRequest.NO_RECORDS
        val known = if (isKnown) request.recordsVersion else 0
        val knownLimits = if (isKnown) request.limitsVersion else 0
        val knownQuarantine = if (request.incarnation == incarnation) request.quarantineVersion else 0
        if (request.isEntry) deliveredRevisions[request.from] = revision
        return WatchReply(
            incarnation,
            registry.table.version,
            registry.table.changedAfter(known),
            revision,
            store.config?.takeIf { store.isLeader && request.isEntry && request.revision < it.revision },
            drainedDomains().takeIf { it.version > request.drainVersion },
            store.leader,
            store.members,
            store.isCurrent,
            entryCount(),
            limits.version,
            limits.changedAfter(knownLimits),
            quarantine.version,
            quarantine.changedAfter(knownQuarantine),
            store.position,
            if (request.isEntry) busyUpstreams() else null,
        )
    }

    /** The failure domains that operators have drained, from the durable state. */
    fun drainedDomains() = store.state.drainedDomains()

    private class DeferredAction(
        val revision: Long,
        val action: () -> Unit,
    )

    private class LongPoll(
        val request: WatchRequest,
        val exchange: PeerExchange<WatchReply>,
        val timeout: Subscription,
    )

    private companion object {
        const val LONG_POLL_MS = 1_000L

        /** Entry instances poll again some 20 ms after each answer, and operators wait for a second for their calls. */
        const val DELIVERY_LIMIT_MS = 250L

        /**
         * The two delays add up to a small part of the 2 s after which a leaving upstream must get no more requests.
         */
        const val CONTROL_RECORDS_DELAY_MS = 60L
        const val ENTRY_RECORDS_DELAY_MS = 300L
        const val ENTRY_KEEP_MS = 10_000L

        /** Instances poll again within about a second of each answer. */
        const val LOST_AFTER_MS = 3_000L
    }
}
