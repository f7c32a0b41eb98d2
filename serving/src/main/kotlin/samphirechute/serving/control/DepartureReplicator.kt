package samphirechute.serving.control

import samphirechute.core.InstanceId
import samphirechute.core.UpstreamId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.TimerService
import samphirechute.serving.cluster.LeavingNotice
import samphirechute.serving.cluster.UpstreamRecord
import samphirechute.serving.cluster.UpstreamState

/** How one member of the store reaches the others. */
internal interface StorePeers {
    /** True while this member leads the store or has just heard from the leader. */
    val hasLeaderContact: Boolean

    /** All members except this one. */
    val others: List<InstanceId>

    fun sendNotice(
        member: InstanceId,
        notice: LeavingNotice,
        onResult: (isAcknowledged: Boolean) -> Unit,
    )
}

/**
 * Acknowledges that an upstream leaves only once a majority of the store's members has recorded it. A control instance
 * that is cut off from the others does not notice this at once. If it acknowledged a departure that only it knows, no
 * other instance would learn of it before the upstream ends, and an upstream that reports only its end does not report
 * it twice. The control instance calls this for announcements and for the notices of other members.
 */
internal class DepartureReplicator(
    private val timer: TimerService,
    private val registry: UpstreamRegistry,
    private val members: StorePeers,
) {
    /** The departures that a majority has recorded, so that a repeated announcement needs no new round. */
    private val replicated = HashMap<UpstreamId, DepartureState>()

    /** Registers an announcement that its upstream is leaving, and replicates it. */
    fun markDraining(
        record: UpstreamRecord,
        onResult: (isAcknowledged: Boolean) -> Unit,
    ) {
        if (!members.hasLeaderContact) return onResult(false)
        registry.register(record)
        replicate(record.id, onResult)
    }

    /** Registers that the upstream has left, and replicates it. */
    fun markGone(
        id: UpstreamId,
        onResult: (isAcknowledged: Boolean) -> Unit,
    ) {
        if (!members.hasLeaderContact) return onResult(false)
        registry.markGone(id)
        replicate(id, onResult)
    }

    /** Applies a notice of another member. */
    fun applyNotice(notice: LeavingNotice) {
        val record = notice.record
        if (record == null) registry.markGone(notice.upstream) else registry.mergeRecords(listOf(record))
    }

    private fun replicate(
        id: UpstreamId,
        onResult: (Boolean) -> Unit,
    ) {
        val record = registry.table[id]
        val departure = record?.let { DepartureState(it.bornMs, it.state) }
        replicated.keys.removeIf { registry.table[it] == null }
        if (departure != null && replicated[id] == departure) return onResult(true)
        val others = members.others
        val round = ReplicationRound(id, departure, needed = (others.size + 1) / 2, onResult)
        // In a store with a single member, that member is the majority.
        round.finishOnMajority()
        if (round.isFinished) return
        timer.after(TIMEOUT_MS) { round.expire() }
        others.forEach { member ->
            members.sendNotice(member, LeavingNotice(id, record)) { if (it) round.acknowledge() }
        }
    }

    /** Identifies the state of one incarnation of an upstream. */
    private data class DepartureState(
        val bornMs: Long,
        val state: UpstreamState,
    )

    /**
     * One notice to all other members; [needed] of their acknowledgements make a majority together with this member.
     */
    private inner class ReplicationRound(
        private val id: UpstreamId,
        private val departure: DepartureState?,
        private val needed: Int,
        private val onResult: (Boolean) -> Unit,
    ) {
        private val startedMs = timer.nowMs()
        private var acknowledgements = 0
        var isFinished = false
            private set

        fun acknowledge() {
            acknowledgements++
            finishOnMajority()
        }

        fun finishOnMajority() {
            if (isFinished || acknowledgements < needed) return
            if (departure != null) replicated[id] = departure
            finish(true)
        }

        fun expire() {
            if (!isFinished) finish(false)
        }

        private fun finish(isAcknowledged: Boolean) {
            isFinished = true
            log.event(
                "leaving_submitted",
                mapOf(
                    "upstream" to id,
                    "state" to departure?.state?.name?.lowercase(),
                    "done" to isAcknowledged,
                    "taken_by" to acknowledgements,
                    "needed" to needed,
                    "ms" to timer.nowMs() - startedMs,
                ),
            )
            onResult(isAcknowledged)
        }
    }

    private companion object {
        /** Less than the second after which an upstream without an answer calls the next instance. */
        const val TIMEOUT_MS = 800L
        val log = KeyValueLog("leaving")
    }
}
