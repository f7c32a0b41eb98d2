package samphirechute.net

import io.netty.channel.Channel
import samphirechute.core.HostPort
import samphirechute.core.time.OnDemandTimer
import samphirechute.core.time.TimerService

/**
 * The idle connections of a [HttpClient] by address. The most recently used one is reused first, so that surplus
 * connections expire. Expired ones are closed even if no call follows: an upstream accepts a number of connections from
 * all instances together, and resets those beyond it. Confined to the loop.
 */
internal class ConnectionPool(
    private val timer: TimerService,
    private val maxIdleMs: Long,
) {
    private val idle = HashMap<HostPort, ArrayDeque<IdleConnection>>()
    private val expiry = OnDemandTimer(timer, EXPIRY_PERIOD_MS, { idle.isNotEmpty() }, ::closeExpired)

    /** Removes and returns a usable connection to [address], or null; closes the expired ones that it finds. */
    fun acquire(
        address: HostPort,
        maxIdleMs: Long = this.maxIdleMs,
    ): Channel? {
        val channels = idle[address] ?: return null
        while (true) {
            val entry = channels.removeLastOrNull() ?: break
            val idleMs = timer.nowMs() - entry.idleSinceMs
            if (entry.channel.isActive && idleMs <= minOf(maxIdleMs, entry.limitMs)) return entry.channel
            entry.channel.close()
        }
        idle.remove(address)
        return null
    }

    /** Returns a connection to the pool; it expires after [limitMs] if that is shorter than the limit of the pool. */
    fun release(
        address: HostPort,
        channel: Channel,
        limitMs: Long = Long.MAX_VALUE,
    ) {
        if (!channel.isActive) return
        val channels = idle.getOrPut(address) { ArrayDeque() }
        channels += IdleConnection(channel, timer.nowMs(), minOf(maxIdleMs, limitMs))
        while (channels.size > MAX_IDLE_PER_ADDRESS) channels.removeFirst().channel.close()
        expiry.arm()
    }

    private fun closeExpired() {
        val nowMs = timer.nowMs()
        val expired =
            idle.values
                .flatMap { channels ->
                    channels.filter { nowMs - it.idleSinceMs > it.limitMs }
                }.toSet()
        idle.values.forEach { it.removeAll(expired) }
        idle.values.removeIf { it.isEmpty() }
        // Closed last, since a closed connection is removed from the pool as well.
        expired.forEach { it.channel.close() }
    }

    /** Forgets a connection that was closed. */
    fun remove(
        address: HostPort,
        channel: Channel,
    ) {
        idle[address]?.removeIf { it.channel === channel }
    }

    /** Closes all idle connections to [address]. */
    fun closeIdleConnections(address: HostPort) {
        idle.remove(address)?.forEach { it.channel.close() }
    }

    private class IdleConnection(
        val channel: Channel,
        val idleSinceMs: Long,
        val limitMs: Long,
    )

    private companion object {
        const val MAX_IDLE_PER_ADDRESS = 64
        const val EXPIRY_PERIOD_MS = 500L
    }
}
