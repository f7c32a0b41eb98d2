package samphirechute.bench.system

import samphirechute.platform.ControlApi
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Announces an upstream to the control instances in turn, each life of it with its port and time of birth. */
internal class Announcer(
    private val place: UpstreamPlace,
    private val controls: List<String>,
    announceMs: Long,
    private val slots: Int = SLOTS,
    private val callMs: Long = CALL_MS,
) : AutoCloseable {
    private class Life(
        val port: Int,
    ) {
        val bornMs = System.currentTimeMillis()
        var sequence = 0
    }

    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }

    @Volatile private var life: Life? = null

    init {
        timer.scheduleWithFixedDelay(::announce, 0, announceMs, TimeUnit.MILLISECONDS)
    }

    /** Begins a new life, which listens on [port], and announces it at once. */
    fun beginLife(port: Int) {
        life = Life(port)
        timer.execute(::announce)
    }

    override fun close() {
        timer.shutdownNow()
    }

    /** A control instance that is down or refuses is passed over until the next turn. */
    private fun announce() {
        val announced = life ?: return
        val record = nextRecord(announced)
        controls.indices.any { turn ->
            val control = controls[(announced.sequence + turn) % controls.size]
            runCatching { Http.call(control, "PUT", ControlApi.INSTANCES + place.id, record, limitMs = callMs).status }
                .getOrNull() == OK
        }
    }

    private fun nextRecord(life: Life) =
        """{"service":"${place.service}","address":"${place.ip}:${life.port}",""" +
            """"zone":"${place.zone}","version":"v1","slots":$slots,"state":"ready","cold_remaining_ms":0,"sequence":${++life.sequence},"born":${life.bornMs}}"""

    private companion object {
        const val OK = 200
        const val SLOTS = 16
        const val CALL_MS = 20_000L
    }
}
