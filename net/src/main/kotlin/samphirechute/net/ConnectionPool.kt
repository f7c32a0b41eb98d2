package samphirechute.net

import io.netty.channel.Channel
import samphirechute.core.HostPort
import samphirechute.core.time.Clock

/** Idle connections by address; the one used last is taken first, so that unused ones age out. */
internal class ConnectionPool(
    private val clock: Clock,
    private val maxIdleMs: Long,
) {
    private val idle = HashMap<HostPort, ArrayDeque<Idle>>()

    fun take(
        address: HostPort,
        maxIdleMs: Long = this.maxIdleMs,
    ): Channel? {
        val channels = idle[address] ?: return null
        while (true) {
            val entry = channels.removeLastOrNull() ?: break
            val idleMs = clock.nowMs() - entry.sinceMs
            if (entry.channel.isActive && idleMs <= minOf(maxIdleMs, entry.limitMs)) return entry.channel
            entry.channel.close()
        }
        idle.remove(address)
        return null
    }

    fun put(
        address: HostPort,
        channel: Channel,
        limitMs: Long = Long.MAX_VALUE,
    ) {
        if (!channel.isActive) return
        val channels = idle.getOrPut(address) { ArrayDeque() }
        channels += Idle(channel, clock.nowMs(), minOf(maxIdleMs, limitMs))
        while (channels.size > MAX_IDLE_PER_ADDRESS) channels.removeFirst().channel.close()
    }

    fun remove(
        address: HostPort,
        channel: Channel,
    ) {
        idle[address]?.removeIf { it.channel === channel }
    }

    fun retire(address: HostPort) {
        idle.remove(address)?.forEach { it.channel.close() }
    }

    private class Idle(
        val channel: Channel,
        val sinceMs: Long,
        val limitMs: Long,
    )

    private companion object {
        const val MAX_IDLE_PER_ADDRESS = 64
    }
}
