package samphirechute.bench.stops

import samphirechute.bench.system.Fault
import java.util.Locale

/** Prints a line for each broken promise and the figures of a run. */
internal class StopsReport(
    private val records: Records,
    private val runs: List<Run>,
    private val faults: List<Fault>,
    private val strays: List<String>,
    private val endedByThemselves: List<String>,
    attempts: AttemptLog,
) {
    private val checks = Checks(records, attempts::of)

    /** Returns the number of broken promises. */
    fun report(): Int {
        val calls = records.calls
        val broken = checks.all()
        val lines =
            broken.sortedBy { it.call.sentMs }.map {
                "broken=${it.promise} ${describe(
                    it.call,
                )} ${it.detail}".trim()
            } +
                strays.filter { SUCCESS in it }.map { "broken=unasked $it" } +
                endedByThemselves.map { "broken=ended_by_itself instance=$it" }
        lines.forEach(::println)
        val whole = calls.filter { it.end == CallEnd.WHOLE }
        println(
            "requests=${calls.size} served=${whole.count { it.status == OK }} " +
                "upstream_runs=${runs.count { it.hasRun }} written_twice=${runs.count { it.answers.size > 1 }}",
        )
        println("broken_by_kind=${counts(broken, ::kind)}")
        println("not_served_by_status=${counts(whole.filter { it.status != OK }) { status(it) }}")
        println("ends=${counts(calls) { it.end.name.lowercase() }} strays=${strays.size}")
        println(
            "cut=${counts(
                calls.filter { checks.cut(it) != null },
            ) { "${Work.of(it.path).route.path}_${checks.cut(it)}".lowercase() }}",
        )
        println("answered_past_deadline_from_first_byte=${calls.count(::isPastDeadline)}")
        val inStops = calls.mapNotNull { call -> records.stopBefore(call)?.let { call.sentMs - it.atMs to call } }
        val taken = inStops.filter { (afterMs, _) -> afterMs in 0 until Checks.GRACE_MS }
        println(
            "sent_during_stops=${taken.size} served=${taken.count {
                it.second.isServed
            }} refused=${taken.count { it.second.status == REFUSED }}",
        )
        println(
            "stops_ms=${records.stops.sortedBy { it.atMs }.joinToString(",") { "${it.entry}:${it.endMs - it.atMs}" }}",
        )
        println("stops_with_other_status=${records.stops.filter { it.status != 0 }}")
        println("faults=${faults.sortedBy { it.fromMs }.joinToString(",")}")
        println("${lines.size} broken")
        return lines.size
    }

    /** A line for each request, to trace the causes of a broken promise together with the logs. */
    fun requestLines(): String =
        (
            records.calls.map { it.sentMs to describe(it) } + faults.map { it.fromMs to "fault $it" } +
                strays.map { 0L to "stray $it" }
        ).sortedBy { it.first }
            .joinToString("\n") { it.second }

    private val Call.isServed get() = end == CallEnd.WHOLE && status == OK

    /** The instances count the deadline from the last byte of a request, callers may count it from the first. */
    private fun isPastDeadline(call: Call) =
        call.lastByteMs != null && (call.headMs ?: call.endMs) > call.sentMs + call.deadlineMs + KeptConnections.HELD_MS

    private fun kind(broken: Broken) =
        listOf(
            broken.promise,
            Work.of(broken.call.path).route.path,
            broken.kind,
        ).filter { it.isNotEmpty() }.joinToString("_")

    private fun status(call: Call) = "${call.status}${if (call.signature == null) "" else "_of_upstream"}"

    private fun <T> counts(
        items: List<T>,
        key: (T) -> String,
    ) = items.groupingBy(key).eachCount().toSortedMap()

    private fun describe(call: Call): String {
        val stop = records.stopBefore(call)
        val baseMs = stop?.atMs ?: 0
        val since = if (stop == null) "start" else "term_at_${seconds(stop.atMs)}"
        val runs = records.runsOf(call).sortedBy { it.readMs }.joinToString(",") { describe(it, baseMs) }
        return "request=${call.request} path=${call.path} entry=${call.entry} at=${seconds(
            call.sentMs,
        )} since=$since " +
            "sent=${seconds(call.sentMs - baseMs)} last_byte=${call.lastByteMs?.let { seconds(it - baseMs) }} " +
            "head=${call.headMs?.let {
                seconds(
                    it - baseMs,
                )
            }} end=${seconds(call.endMs - baseMs)} how=${call.end.name.lowercase()} " +
            "cut=${checks.cut(call)?.name?.lowercase() ?: "-"} deadline_ms=${call.deadlineMs} status=${status(call)} " +
            "body_chars=${call.body.length} before=${call.before} runs=[$runs]"
    }

    private fun describe(
        run: Run,
        baseMs: Long,
    ): String {
        val endMs = if (run.end == RunEnd.WORKING) "-" else seconds(run.endMs - baseMs)
        return "${run.signature} read=${seconds(
            run.readMs - baseMs,
        )} end=$endMs ${run.end.name.lowercase()} status=${run.status} answers=${run.answers.joinToString(
            "+",
        )} copy=${run.copy}"
    }

    private fun seconds(ms: Long) = "%.3f".format(Locale.ROOT, ms / MS_PER_SECOND)

    private companion object {
        const val OK = 200
        const val REFUSED = 503
        const val SUCCESS = " 2"
        const val MS_PER_SECOND = 1_000.0
    }
}
