package samphirechute.bench.stops

import samphirechute.bench.system.PlatformProcesses
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicIntegerArray
import kotlin.random.Random

/** Asks each entry instance every second whether it is ready, and leaves out those that miss twice. */
internal class Balancer(
    private val system: PlatformProcesses,
) : AutoCloseable {
    private val timer = Executors.newScheduledThreadPool(system.entries.size) { Thread(it).apply { isDaemon = true } }
    private val misses = AtomicIntegerArray(system.entries.size)

    init {
        for (entry in system.entries.indices) {
            timer.scheduleAtFixedRate({ ask(entry) }, 0, INTERVAL_MS, TimeUnit.MILLISECONDS)
        }
    }

    /** An instance that counts as ready, or any one if there is none. */
    fun choose(random: Random): Int {
        val ready = system.entries.indices.filter { misses[it] < MISSES }
        return ready.ifEmpty { system.entries.indices.toList() }.random(random)
    }

    override fun close() {
        timer.shutdownNow()
    }

    private fun ask(entry: Int) {
        if (isReady(system.readyAddress(entry))) misses[entry] = 0 else misses.incrementAndGet(entry)
    }

    /** No answer, and none in time, is a miss like another status. */
    private fun isReady(address: InetSocketAddress) =
        try {
            Socket().use { socket ->
                socket.connect(address, LIMIT_MS)
                socket.getOutputStream().write(
                    "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".toByteArray(),
                )
                WireReader(socket).run {
                    limit(LIMIT_MS.toLong())
                    head()?.status == PlatformProcesses.OK
                }
            }
        } catch (_: IOException) {
            false
        }

    private companion object {
        const val INTERVAL_MS = 1_000L
        const val LIMIT_MS = 900
        const val MISSES = 2
    }
}
