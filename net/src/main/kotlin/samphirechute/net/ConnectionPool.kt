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

    fun take(address: HostPort): Channel? {
        val channels = idle[address] ?: return null
        while (true) {
            val entry = channels.removeLastOrNull() ?: break
            if (entry.channel.isActive && clock.nowMs() - entry.sinceMs <= maxIdleMs) return entry.channel
            entry.channel.close()
        }
        idle.remove(address)
        return null
    }

    fun put(
        address: HostPort,
        channel: Channel,
    ) {
        if (!channel.isActive) return
        val channels = idle.getOrPut(address) { ArrayDeque() }
        channels += Idle(channel, clock.nowMs())
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
    )

    private companion object {
        const val MAX_IDLE_PER_ADDRESS = 64
    }
}
