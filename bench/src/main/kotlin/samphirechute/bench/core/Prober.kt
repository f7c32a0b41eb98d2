package samphirechute.bench.core

import samphirechute.bench.system.RunClock
import samphirechute.bench.system.pause
import java.time.Duration
import java.time.Instant
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** What one request for a route showed. */
internal class Probe(
    val entry: CoreSystem.Machine,
    val route: String,
    val sentMs: Long,
    val sentAt: Instant,
    val status: Int,
    val floor: Version?,
    val isAllowed: Boolean,
) {
    /**
     * True when the machine did not run the entry instance for a while around the request, by its own log. Like a suspended
     * machine it is not in touch until [STABLE] after that.
     */
    fun isAfterPause() =
        entry.child
            ?.logsOfAllStarts()
            .orEmpty()
            .flatten()
            .filter { "event=process_paused" in it }
            .map { Instant.parse(it.substringAfter("time=").substringBefore(' ')) }
            .any { it > sentAt - STABLE && it < sentAt + ANSWERED }

    override fun toString() =
        "entry=${entry.name} route=$route sent_ms=$sentMs at=$sentAt status=$status acknowledged=${floor?.number} " +
            "by=${floor?.acknowledgement?.by} at_ms=${floor?.acknowledgement?.atMs}"
}

private val STABLE = Duration.ofSeconds(3)
private val ANSWERED = Duration.ofSeconds(4)

/** Callers that ask entry instances on kept connections for added, removed and unknown routes, until [close]. */
internal class Prober(
    private val system: CoreSystem,
    private val versions: Versions,
    private val clock: RunClock,
    private val random: Random,
) : AutoCloseable {
    private val workers = Executors.newFixedThreadPool(CALLERS) { Thread(it).apply { isDaemon = true } }
    val probes = ConcurrentLinkedQueue<Probe>()

    @Volatile private var isRunning = true

    fun start() = repeat(CALLERS) { workers.execute(::run) }

    override fun close() {
        isRunning = false
        workers.shutdown()
        workers.awaitTermination(END_SECONDS, TimeUnit.SECONDS)
    }

    /** The routes whose answers tell versions apart: the newest, an older one, a removed one and one that never was. */
    fun routes(): List<String> {
        val newest = versions.floor(clock.nowMs())
        val older = newest?.routes?.filter { it.startsWith("r") }?.randomOrNull(random)
        val removed =
            versions.list().filter { it.acknowledgement != null }.mapNotNull { it.removed }.randomOrNull(
                random,
            )
        return listOfNotNull(newest?.added, older, removed, NEVER)
    }

    /** Asks for a route; null when there was no answer. */
    fun probe(
        entry: CoreSystem.Machine,
        route: String,
    ): Probe? {
        val sentMs = clock.nowMs()
        val sentAt = Instant.now()
        val floor = versions.floor(sentMs - APPLY_MS)
        val status = runCatching { system.send(entry, route) }.getOrNull()?.status ?: return null
        // Other errors say nothing about the configuration in force.
        val isAllowed = status !in listOf(OK, NOT_FOUND) || versions.allows(route, status == OK, floor)
        return Probe(entry, route, sentMs, sentAt, status, floor, isAllowed).also { probes += it }
    }

    private fun run() {
        while (isRunning) {
            probe(system.entries.random(), routes().random())
            pause(PAUSE_MS)
        }
    }

    companion object {
        const val APPLY_MS = 2_000L
        const val NEVER = "never"
        const val OK = 200
        private const val NOT_FOUND = 404
        private const val CALLERS = 4
        private const val PAUSE_MS = 60L
        private const val END_SECONDS = 10L
    }
}
