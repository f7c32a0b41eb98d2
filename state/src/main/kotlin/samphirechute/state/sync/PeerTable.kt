package samphirechute.state.sync

import samphirechute.core.FailureDomain
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

    fun ofDomain(failureDomain: FailureDomain) = peers.values.filter { it.peer.failureDomain == failureDomain }

    fun stores() = peers.values.filter { it.peer.isStore }

    /**
     * A random one of [candidates]. Of two drawn, the one that failed less of late is taken, so silent peers cost few
     * exchanges and are still asked often enough to notice their return.
     */
    fun choose(candidates: Collection<PeerState>): PeerState? {
        if (candidates.isEmpty()) return null
        val first = candidates.random(random)
        val second = candidates.random(random)
        return if (second.failures < first.failures) second else first
    }

    fun sample(
        candidates: Collection<PeerState>,
        count: Int,
    ): List<PeerState> = candidates.shuffled(random).take(count)
}

/** One peer as seen from here. */
internal class PeerState(
    val peer: SyncPeer,
) {
    val instance: InstanceId get() = peer.instance

    /** The sender part of its latest message. */
    var known: SyncSender? = null
    var lastExchangeMs = Long.MIN_VALUE / 2
    var askedMs: Long? = null
    var failures = 0

    /** The number of the latest message with grants, to drop those that were overtaken or repeated. */
    var grantsHeartbeat = 0L

    /** The heartbeats that this peer knows, as far as is known here. */
    val toldHeartbeats = mutableMapOf<InstanceId, Long>()

    fun isRecent(nowMs: Long) = nowMs - lastExchangeMs < RECENT_EXCHANGE_MS

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
            toldHeartbeats.clear()
        }
        known = sender
        return true
    }
}
