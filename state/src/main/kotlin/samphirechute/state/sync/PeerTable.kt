package samphirechute.state.sync

import samphirechute.core.InstanceId
import kotlin.random.Random

/** The state of the exchanges with each peer. It chooses the peers for the next exchanges. */
internal class PeerTable(
    settings: SyncSettings,
    private val random: Random,
) {
    private val peers =
        settings.peers.filter { it.instance != settings.self }.associate { it.instance to PeerState(it) }

    val all: Collection<PeerState> get() = peers.values

    operator fun get(instance: InstanceId): PeerState? = peers[instance]

    /**
     * Chooses a peer of [candidates] for an exchange. Usually it is the one with the least recent exchange among those
     * that answer, so that they take turns. Sometimes it is a random one, so that a peer that did not answer is noticed
     * when it returns.
     */
    fun choose(candidates: Collection<PeerState>): PeerState? {
        if (candidates.isEmpty()) return null
        val answering = candidates.filter { it.failures == 0 }
        if (answering.isEmpty() || random.nextDouble() < EXPLORATION) return candidates.random(random)
        val oldestMs = answering.minOf { it.lastExchangeMs }
        return answering.filter { it.lastExchangeMs == oldestMs }.random(random)
    }

    /** Up to [count] random peers of [candidates]. Those that answer are preferred. */
    fun sample(
        candidates: Collection<PeerState>,
        count: Int,
    ): List<PeerState> = candidates.shuffled(random).sortedBy { it.failures > 0 }.take(count)

    private companion object {
        /** The probability that a peer is chosen whether it answers or not. */
        const val EXPLORATION = 0.3
    }
}

/** The state of the exchanges with one peer. */
internal class PeerState(
    val peer: SyncPeer,
) {
    val instance: InstanceId get() = peer.instance

    /** The sender part of the latest message from this peer, which shows what it has. */
    var latestSender: SyncSender? = null
    var lastExchangeMs = Long.MIN_VALUE / 2

    /** When the request was sent that this peer has not answered yet. */
    var pendingSinceMs: Long? = null

    /** How many requests failed in a row. */
    var failures = 0

    /** The version of the own digest that was last sent to this peer. */
    var lastSentDigest: DigestVersion? = null

    /** How many more peers may be asked in place of this one when it does not answer. */
    var substitutesLeft = 0

    /** The heartbeat of the latest message with held grants, to drop messages that arrive late or twice. */
    var grantsHeartbeat = 0L

    /** The rows that this peer sent. Rows sent to it do not count, since the message may have been lost. */
    private val receivedRows = mutableMapOf<InstanceId, MemberRow>()

    fun isRecent(nowMs: Long) = nowMs - lastExchangeMs < RECENT_EXCHANGE_MS

    fun recordReceivedRows(rows: Map<InstanceId, MemberRow>) {
        for ((id, row) in rows) if (isNewTo(id, row)) receivedRows[id] = row
    }

    /**
     * Whether [row] is newer than what this peer sent, by [minAdvance] heartbeats at least. Incarnations are compared
     * first, since an earlier one may have had a higher heartbeat.
     */
    fun isNewTo(
        id: InstanceId,
        row: MemberRow,
        minAdvance: Long = 1,
    ) = receivedRows[id]?.let {
        row.incarnation > it.incarnation || row.heartbeat >= it.heartbeat + minAdvance
    } != false

    fun recordFailure() {
        pendingSinceMs = null
        failures++
    }

    /** Records [sender] of a message. Returns false when the message is older than the latest one. */
    fun updateSender(sender: SyncSender): Boolean {
        val latest = latestSender
        if (latest != null && compareValuesBy(sender, latest, { it.incarnation }, { it.heartbeat }) < 0) return false
        if (latest == null || sender.incarnation > latest.incarnation) {
            grantsHeartbeat = 0
            receivedRows.clear()
            lastSentDigest = null
        }
        latestSender = sender
        return true
    }
}
