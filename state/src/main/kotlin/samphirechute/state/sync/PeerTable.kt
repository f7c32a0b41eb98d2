package samphirechute.state.sync

import samphirechute.core.InstanceId
import kotlin.random.Random

/** What is known of the exchanges with each peer, and which peers to choose for the next one. */
internal class PeerTable(
    settings: SyncSettings,
    private val random: Random,
) {
    private val peers =
        settings.peers.filter { it.instance != settings.self }.associate { it.instance to PeerState(it) }

    val all: Collection<PeerState> get() = peers.values

    operator fun get(instance: InstanceId): PeerState? = peers[instance]

    /**
     * Mostly the peer that answers and was heard least recently, so that each of them is heard in turn; otherwise any
     * one, so that the return of a silent peer is noticed.
     */
    fun choose(candidates: Collection<PeerState>): PeerState? {
        if (candidates.isEmpty()) return null
        val answering = candidates.filter { it.failures == 0 }
        if (answering.isEmpty() || random.nextDouble() < EXPLORATION) return candidates.random(random)
        val oldestMs = answering.minOf { it.lastExchangeMs }
        return answering.filter { it.lastExchangeMs == oldestMs }.random(random)
    }

    /** Up to [count] random ones of [candidates], those that answer first. */
    fun sample(
        candidates: Collection<PeerState>,
        count: Int,
    ): List<PeerState> = candidates.shuffled(random).sortedBy { it.failures > 0 }.take(count)

    private companion object {
        /** How often a peer is chosen whether it answers or not. */
        const val EXPLORATION = 0.3
    }
}

/** One peer as seen from here. */
internal class PeerState(
    val peer: SyncPeer,
) {
    val instance: InstanceId get() = peer.instance

    /** The sender part of its latest message. */
    var known: SyncSender? = null
    var lastExchangeMs = Long.MIN_VALUE / 2
    var heartbeatsMs = Long.MIN_VALUE / 2
    var askedMs: Long? = null
    var failures = 0

    /** The own digest as it was last told to this peer. */
    var toldDigest: DigestVersion? = null

    /** How many more peers are asked in place of this one when it does not answer. */
    var substitutesLeft = 0

    /** The number of the latest message with grants, to drop those that were overtaken or repeated. */
    var grantsHeartbeat = 0L

    /** The rows whose heartbeat this peer knows, as far as is known here. */
    private val told = mutableMapOf<InstanceId, MemberRow>()

    fun isRecent(nowMs: Long) = nowMs - lastExchangeMs < RECENT_EXCHANGE_MS

    fun noteTold(rows: Map<InstanceId, MemberRow>) {
        for ((id, row) in rows) if (isNewTo(id, row)) told[id] = row
    }

    /** An earlier incarnation may have had a higher heartbeat. */
    fun isNewTo(
        id: InstanceId,
        row: MemberRow,
    ) = told[id]?.let { row.incarnation > it.incarnation || row.heartbeat > it.heartbeat } != false

    fun noteFailure() {
        askedMs = null
        failures++
    }

    /** Returns false when the message is older than the latest known one. */
    fun note(sender: SyncSender): Boolean {
        val latest = known
        if (latest != null && compareValuesBy(sender, latest, { it.incarnation }, { it.heartbeat }) < 0) return false
        if (latest == null || sender.incarnation > latest.incarnation) {
            grantsHeartbeat = 0
            told.clear()
            toldDigest = null
        }
        known = sender
        return true
    }
}
