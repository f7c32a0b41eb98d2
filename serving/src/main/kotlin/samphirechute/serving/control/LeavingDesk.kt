package samphirechute.serving.control

import samphirechute.core.InstanceId
import samphirechute.core.UpstreamId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.TimerService
import samphirechute.serving.cluster.LeavingNotice
import samphirechute.serving.cluster.UpstreamRecord
import samphirechute.serving.cluster.UpstreamState

/** The members of the store, as one of them reaches the others. */
internal interface StoreMembers {
    val isInTouch: Boolean

    /** All members but this one. */
    val others: List<InstanceId>

    fun tell(
        member: InstanceId,
        notice: LeavingNotice,
        onResult: (isTaken: Boolean) -> Unit,
    )
}

/**
 * Acknowledges that an upstream leaves only once a majority of the store's members knows it. An instance that is cut off
 * does not notice at once; what it alone knows would reach no other instance before the upstream has ended, and an upstream
 * that reports only its end does not say it again.
 */
internal class LeavingDesk(
    private val timer: TimerService,
    private val registrar: Registrar,
    private val members: StoreMembers,
) {
    /** What a majority knows of upstreams that leave. */
    private val known = HashMap<UpstreamId, Life>()

    /** An announcement that says that its upstream leaves. */
    fun leaves(
        record: UpstreamRecord,
        onResult: (isAcknowledged: Boolean) -> Unit,
    ) {
        if (!members.isInTouch) return onResult(false)
        registrar.announced(record)
        spread(record.id, onResult)
    }

    /** The upstream has left. */
    fun left(
        id: UpstreamId,
        onResult: (isAcknowledged: Boolean) -> Unit,
    ) {
        if (!members.isInTouch) return onResult(false)
        registrar.left(id)
        spread(id, onResult)
    }

    /** Takes the word of another member. */
    fun noticed(notice: LeavingNotice) {
        val record = notice.record
        if (record == null) registrar.left(notice.upstream) else registrar.learned(listOf(record))
    }

    private fun spread(
        id: UpstreamId,
        onResult: (Boolean) -> Unit,
    ) {
        val record = registrar.table[id]
        val life = record?.let { Life(it.bornMs, it.state) }
        known.keys.removeIf { registrar.table[it] == null }
        if (life != null && known[id] == life) return onResult(true)
        val others = members.others
        val round = Round(id, life, needed = (others.size + 1) / 2, onResult)
        round.endIfTaken()
        if (round.isEnded) return
        timer.after(LIMIT_MS) { round.expire() }
        others.forEach { member -> members.tell(member, LeavingNotice(id, record)) { if (it) round.taken() } }
    }

    private data class Life(
        val bornMs: Long,
        val state: UpstreamState,
    )

    /** One question to all other members, [needed] of which make a majority with this one. */
    private inner class Round(
        private val id: UpstreamId,
        private val life: Life?,
        private val needed: Int,
        private val onResult: (Boolean) -> Unit,
    ) {
        private val startedMs = timer.nowMs()
        private var taken = 0
        var isEnded = false
            private set

        fun taken() {
            taken++
            endIfTaken()
        }

        fun endIfTaken() {
            if (isEnded || taken < needed) return
            if (life != null) known[id] = life
            end(true)
        }

        fun expire() {
            if (!isEnded) end(false)
        }

        private fun end(isAcknowledged: Boolean) {
            isEnded = true
            log.event(
                "leaving_submitted",
                mapOf(
                    "upstream" to id,
                    "state" to life?.state?.name?.lowercase(),
                    "done" to isAcknowledged,
                    "taken_by" to taken,
                    "needed" to needed,
                    "ms" to timer.nowMs() - startedMs,
                ),
            )
            onResult(isAcknowledged)
        }
    }

    private companion object {
        /** Upstreams call the next instance after a second without an answer. */
        const val LIMIT_MS = 800L
        val log = KeyValueLog("leaving")
    }
}
