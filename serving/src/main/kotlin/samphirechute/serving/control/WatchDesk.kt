package samphirechute.serving.control

import samphirechute.core.InstanceId
import samphirechute.core.time.Subscription
import samphirechute.core.time.TimerService
import samphirechute.net.peer.PeerApi
import samphirechute.net.peer.PeerExchange
import samphirechute.serving.cluster.ClusterRoutes
import samphirechute.serving.cluster.ConfigReply
import samphirechute.serving.cluster.DrainedDomains
import samphirechute.serving.cluster.WatchReply
import samphirechute.serving.cluster.WatchRequest
import samphirechute.state.command.DrainTarget

/** Answers the open questions of other instances as soon as there is news for them. */
class WatchDesk(
    private val timer: TimerService,
    private val store: StoreKeeper,
    private val registrar: Registrar,
    private val life: Long,
) {
    private val waiting = LinkedHashMap<InstanceId, Question>()
    private val entriesMs = HashMap<InstanceId, Long>()

    /** The newest revision in the answers to each entry instance. */
    private val sent = HashMap<InstanceId, Long>()
    private val heldBack = ArrayList<Held>()
    private var isDue = false
    private var areRecordsDue = false
    private var areEntryRecordsDue = false

    fun serve(api: PeerApi) {
        api.on(ClusterRoutes.watch) { request, exchange ->
            if (request.isEntry) entriesMs[request.from] = timer.nowMs()
            if (request.departed.isNotEmpty()) registrar.learned(request.departed)
            waiting.remove(request.from)?.timeout?.cancel()
            if (isNews(request) && !areOnlyRecordsDue(request)) {
                exchange.answer(reply(request))
                if (heldBack.isNotEmpty()) timer.after(0) { releaseHeldBack() }
            } else {
                hold(request, exchange)
            }
        }
        api.on(ClusterRoutes.config) { request, exchange ->
            exchange.answer(ConfigReply(store.config?.takeIf { request.revision < it.revision }))
        }
    }

    /** The durable state has changed; changes of one turn of the loop are answered together. */
    fun changed() {
        if (isDue) return
        isDue = true
        timer.after(0) {
            isDue = false
            answerNews { true }
            releaseHeldBack()
        }
    }

    /**
     * Records of upstreams have changed. Those that change within a short time, as in a release, are answered together, and
     * to the many entry instances less often than to the few control instances, one of which places the requests.
     */
    fun recordsChanged() {
        if (areRecordsDue) return
        areRecordsDue = true
        timer.after(RECORDS_MS) {
            areRecordsDue = false
            answerNews { !it.isEntry }
        }
        if (areEntryRecordsDue) return
        areEntryRecordsDue = true
        timer.after(ENTRY_RECORDS_MS) {
            areEntryRecordsDue = false
            answerNews { it.isEntry }
        }
    }

    /**
     * Runs [action] once the entry instances that follow this one have been sent the configuration of [revision], or after a
     * limit. All control instances may be lost right after a change was acknowledged; entry instances then hold it already.
     */
    fun whenSent(
        revision: Long,
        action: () -> Unit,
    ) {
        if (isSentToAll(revision)) return action()
        val held = Held(revision, action)
        heldBack += held
        timer.after(SENT_LIMIT_MS) { if (heldBack.remove(held)) action() }
    }

    private fun isSentToAll(revision: Long): Boolean {
        val nowMs = timer.nowMs()
        return entriesMs.none { (entry, askedMs) -> nowMs - askedMs <= GONE_MS && (sent[entry] ?: 0) < revision }
    }

    private fun releaseHeldBack() {
        val due = heldBack.filter { isSentToAll(it.revision) }
        heldBack -= due.toSet()
        due.forEach { it.action() }
    }

    /** Most of a fleet waits for the same news, which is encoded once. */
    private fun answerNews(isDue: (WatchRequest) -> Boolean) {
        val encoded = HashMap<WatchReply, ByteArray>()
        for (question in waiting.values.filter { isDue(it.request) && isNews(it.request) }) {
            val reply = reply(question.request)
            end(question)
            question.exchange.answerEncoded(encoded.getOrPut(reply) { question.exchange.encode(reply) })
        }
    }

    private val revision: Long get() = store.config?.revision ?: 0

    /** Entry instances that asked lately. */
    fun entries(): Int {
        entriesMs.values.removeIf { timer.nowMs() - it > ENTRY_KEEP_MS }
        sent.keys.retainAll(entriesMs.keys)
        return entriesMs.size
    }

    /** True for an entry instance that asked before and no longer does. */
    fun isGone(instance: InstanceId): Boolean {
        val askedMs = entriesMs[instance] ?: return false
        return timer.nowMs() - askedMs > GONE_MS
    }

    private fun hold(
        request: WatchRequest,
        exchange: PeerExchange<WatchReply>,
    ) {
        lateinit var question: Question
        question = Question(request, exchange, timer.after(HOLD_MS) { answer(question) })
        waiting[request.from] = question
        exchange.onAborted {
            question.timeout.cancel()
            waiting.remove(request.from, question)
        }
    }

    private fun answer(question: Question) {
        end(question)
        question.exchange.answer(reply(question.request))
    }

    private fun end(question: Question) {
        question.timeout.cancel()
        waiting.remove(question.request.from, question)
    }

    private fun isNews(request: WatchRequest) =
        request.life != life || request.recordsVersion < registrar.table.version ||
            (store.isInTouch && request.leader != store.leader) ||
            request.revision < revision || request.drainVersion < store.state.drainVersion

    /** True when the news for an entry instance is only of records that it gets soon together with others. */
    private fun areOnlyRecordsDue(request: WatchRequest) =
        request.isEntry && areEntryRecordsDue && !isNews(request.copy(recordsVersion = registrar.table.version))

    private fun reply(request: WatchRequest): WatchReply {
        val isKnown = request.life == life || request.recordsVersion == WatchRequest.NO_RECORDS
        val known = if (isKnown) request.recordsVersion else 0
        if (request.isEntry) sent[request.from] = revision
        return WatchReply(
            life,
            registrar.table.version,
            registrar.table.changedAfter(known),
            revision,
            store.config?.takeIf { store.isLeader && request.isEntry && request.revision < it.revision },
            drains().takeIf { it.version > request.drainVersion },
            store.leader,
            store.members,
            store.isInTouch,
            entries(),
        )
    }

    fun drains() =
        DrainedDomains(
            store.state.drainVersion,
            store.state.drains
                .filterIsInstance<DrainTarget.Domain>()
                .map { it.failureDomain }
                .toSet(),
        )

    private class Held(
        val revision: Long,
        val action: () -> Unit,
    )

    private class Question(
        val request: WatchRequest,
        val exchange: PeerExchange<WatchReply>,
        val timeout: Subscription,
    )

    private companion object {
        const val HOLD_MS = 1_000L

        /** Entry instances ask again some 20 ms after each answer, and callers of operators wait for a second. */
        const val SENT_LIMIT_MS = 250L

        /** Together a small part of the 2 s within which a leaving upstream must get no more requests. */
        const val RECORDS_MS = 60L
        const val ENTRY_RECORDS_MS = 300L
        const val ENTRY_KEEP_MS = 10_000L

        /** Instances ask again within about a second of each answer. */
        const val GONE_MS = 3_000L
    }
}
