package samphirechute.bench.limits

import samphirechute.bench.system.PlatformProcesses
import samphirechute.bench.system.RunClock
import samphirechute.bench.system.pause
import samphirechute.platform.PlatformHeaders
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.math.ln
import kotlin.random.Random

/** How a request ended; [status] is 0 if no answer came. */
internal class CallResult(
    val id: String,
    val path: String,
    val entry: String,
    val sentMs: Long,
    val endMs: Long,
    val status: Int,
    val retryAfter: String?,
) {
    val isServed get() = status == PlatformProcesses.OK
    val isRefused get() = !isServed && retryAfter != null
}

/** Sends requests to all entry instances at random times, whether or not earlier ones were answered. */
internal class Callers(
    private val system: PlatformProcesses,
    private val clock: RunClock,
    private val random: Random,
) {
    private val workers = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    val results = ConcurrentLinkedQueue<CallResult>()

    /** Sends until [untilMs] and waits for the last answers. */
    fun run(untilMs: Long) {
        var nextMs = 0.0
        var number = 0
        while (nextMs < untilMs) {
            val waitMs = nextMs.toLong() - clock.nowMs()
            if (waitMs > 0) pause(waitMs)
            // For some seconds most requests come to one instance, then to all alike.
            val phase = Random((nextMs / PHASE_MS).toLong() * SPREAD + 1)
            val isUneven = phase.nextBoolean() && random.nextInt(UNEVEN_OF) > 0
            val entry = (if (isUneven) phase else random).nextInt(system.entries.size)
            val path = PATHS.random(random)
            val id = "e$entry-${++number}"
            workers.execute { results += call(entry, id, path) }
            nextMs -= ln(1 - random.nextDouble()) * MS_PER_SECOND / REQUESTS_PER_S
        }
        workers.shutdown()
        workers.awaitTermination(LAST_ANSWERS_S, TimeUnit.SECONDS)
    }

    private fun call(
        entry: Int,
        id: String,
        path: String,
    ): CallResult {
        val sentMs = clock.nowMs()
        val answer = runCatching { system.send(entry, path, id, DEADLINE_MS) }.getOrNull()
        val retryAfter = answer?.header(PlatformHeaders.RETRY_AFTER)
        return CallResult(id, path, "entry-$entry", sentMs, clock.nowMs(), answer?.status ?: 0, retryAfter)
    }

    companion object {
        const val UNSAFE = "/order/x"

        /** Half of the requests may be repeated, one in eight is a stream. */
        val PATHS = List(4) { "/check/x" } + List(3) { UNSAFE } + "/stream/x"
        private const val REQUESTS_PER_S = 60
        private const val DEADLINE_MS = 2_000L
        private const val PHASE_MS = 5_000
        private const val SPREAD = 7_919
        private const val UNEVEN_OF = 3
        private const val LAST_ANSWERS_S = 30L
        private const val MS_PER_SECOND = 1_000

        /** The entry instance that a request of this bench was sent to, or null for any other request. */
        fun entryOf(id: String) = id.substringBefore('-').takeIf { it.matches(ENTRY) }?.let { "entry-${it.drop(1)}" }

        private val ENTRY = Regex("e\\d+")
    }
}
