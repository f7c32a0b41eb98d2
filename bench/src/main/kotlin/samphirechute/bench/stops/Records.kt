package samphirechute.bench.stops

/** How a run at an upstream ended. */
internal enum class RunEnd {
    WORKING,
    DONE,

    /** The connection that the request came on broke while the upstream worked. */
    SENDER_LEFT,

    /** The upstream itself broke the connection. */
    BROKE_OFF,
}

/** One arrival of a request at an upstream and its first answer; the signature stands in each copy of that answer. */
internal data class Run(
    val request: String,
    val signature: String,
    val readMs: Long,
    val hasRun: Boolean = false,
    val status: Int = 0,
    /** Null for a stream, whose events follow from the request. */
    val body: String? = null,
    val endMs: Long = Long.MAX_VALUE,
    val end: RunEnd = RunEnd.WORKING,
    val copy: String = "-",
    /** The statuses of the answers that the upstream began, in their order: two if a copy was written. */
    val answers: List<Int> = emptyList(),
)

/** How a request ended for its caller. */
internal enum class CallEnd {
    /** With a whole answer, of whatever status. */
    WHOLE,

    /** With its connection, without a whole answer. */
    CLOSED,

    /** With the patience of the caller, who waited past the deadline. */
    HELD,

    /** With bytes that are no answer. */
    NO_MESSAGE,

    /** Before its last byte could be sent. */
    UNSENT,
}

/** A request as its caller saw it. */
internal data class Call(
    val request: String,
    val path: String,
    val entry: String,
    val sentMs: Long,
    val lastByteMs: Long?,
    val deadlineMs: Long,
    val headMs: Long?,
    val endMs: Long,
    val end: CallEnd,
    val status: Int = 0,
    val answered: String? = null,
    val signature: String? = null,
    val body: String = "",
    /** How many requests the connection had carried before. */
    val before: Int = 0,
)

/** A planned stop of an instance: SIGTERM, and the end of the process with its exit status. */
internal data class Stop(
    val entry: String,
    val atMs: Long,
    val endMs: Long,
    val status: Int,
)

/** A time in which a process was killed or suspended. */
internal data class Disruption(
    val target: String,
    val fromMs: Long,
    val untilMs: Long,
)

/** Everything that a run of the bench recorded. */
internal class Records(
    val calls: List<Call>,
    runs: List<Run>,
    val stops: List<Stop>,
    private val disruptions: List<Disruption>,
) {
    private val runs = runs.groupBy { it.request }

    fun runsOf(call: Call): List<Run> = runs[call.request].orEmpty()

    /** The last SIGTERM of the instance before the request ended. */
    fun stopBefore(call: Call): Stop? =
        stops.filter { it.entry == call.entry && it.atMs <= call.endMs }.maxByOrNull { it.atMs }

    fun isDisrupted(call: Call) =
        disruptions.any { it.target == call.entry && it.fromMs <= call.endMs && it.untilMs >= call.sentMs }
}
