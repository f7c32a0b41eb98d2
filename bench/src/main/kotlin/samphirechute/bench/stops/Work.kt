package samphirechute.bench.stops

import kotlin.random.Random

/** The routes of the system, each of one service. */
internal enum class RouteOfStops(
    val path: String,
    val kind: String,
    val service: String,
    val timeoutMs: Long,
) {
    STREAM("stream", "streaming", "flow", 15_000),
    CHECK("check", "safe", "flow", 5_000),
    ORDER("order", "unsafe", "shop", 5_000),
    LOOK("look", "safe", "shop", 5_000),
}

/** How an upstream answers the arrivals of one request. */
internal enum class Outcome(
    val first: Int,
    val later: Int,
) {
    SUCCEEDS(200, 200),
    FAILS(500, 500),
    REFUSES(503, 503),
    FAILS_ONCE(500, 200),
    REFUSES_ONCE(503, 200),
}

/** What a request asks of an upstream. All of it follows from the path, `/ROUTE/LENGTH_MS/VARIANT`. */
internal class Work private constructor(
    val route: RouteOfStops,
    val lengthMs: Long,
    variant: Int,
) {
    private val random = Random(variant)
    private val outcome = if (random.nextInt(SUCCESS_OF) > 0) Outcome.SUCCEEDS else Outcome.entries.random(random)
    val events = random.nextInt(EVENTS.first, EVENTS.last)
    private val padding = ".".repeat(PADDING_BYTES.random(random))
    private val silentMs =
        if (lengthMs > SILENCE_FROM_MS &&
            random.nextInt(SILENT_OF) == 0
        ) {
            random.nextLong(SILENT_MS.first, minOf(lengthMs, SILENT_MS.last))
        } else {
            0
        }
    private val silentBefore = events / 2

    /** Whether the answer has no length and ends with the connection. */
    val isUnframed = route != RouteOfStops.STREAM && random.nextInt(UNFRAMED_OF) == 0

    /** The status of the answer to an arrival of a request, counted from 1. */
    fun status(arrival: Int) = if (arrival == 1) outcome.first else outcome.later

    /** How long the upstream waits before an event. */
    fun pauseMs(event: Int) = (lengthMs - silentMs) / events + if (event == silentBefore) silentMs else 0

    fun event(
        id: String,
        number: Int,
    ) = "id: $number\ndata: $number of $id $padding\n\n"

    /** A whole stream as it has to arrive. */
    fun wholeStream(id: String) = (1..events).joinToString("") { event(id, it) }

    companion object {
        fun of(path: String): Work {
            val (route, lengthMs, variant) = path.removePrefix("/").split('/')
            return Work(RouteOfStops.entries.first { it.path == route }, lengthMs.toLong(), variant.toInt())
        }

        private const val SUCCESS_OF = 3
        private val EVENTS = 3..60
        private val PADDING_BYTES = listOf(0, 0, 100, 3_000)
        private const val SILENCE_FROM_MS = 2_500L
        private const val SILENT_OF = 3
        private val SILENT_MS = 1_000L..4_500L
        private const val UNFRAMED_OF = 20
    }
}
