package samphirechute.bench.stops

/** Why a connection may close on a request that was read. */
internal enum class Cut {
    NOT_READ,
    UPSTREAM_BROKE_OFF,
    DEADLINE,
    DISRUPTED,

    /** Sent early in a stop, and the upstream was still at work late in the grace period. */
    LATE_IN_STOP,
    BROKEN,
}

/** A promise that did not hold for [call]. */
internal data class Broken(
    val promise: String,
    val call: Call,
    val detail: String = "",
    /** The difference that the promise forbids, as it is counted. */
    val kind: String = "",
)

/** Checks the promises to callers on what a run recorded. */
internal class Checks(
    private val records: Records,
    /** What the logs say of the sendings of a request, for the detail of a broken promise. */
    private val sendingsOf: (Call) -> String = { "" },
) {
    fun all(): List<Broken> =
        records.calls.flatMap { call ->
            listOfNotNull(lost(call), mixed(call), order(call), ranTwice(call), refusedAfterRun(call), held(call))
        }

    /** Null for a request whose connection did not close on it. */
    fun cut(call: Call): Cut? {
        if (call.end != CallEnd.CLOSED) return null
        val runs = records.runsOf(call)
        val lastByteMs = call.lastByteMs ?: return Cut.NOT_READ
        val stop = records.stopBefore(call)?.takeIf { call.endMs <= it.atMs + AROUND_STOP_MS }
        return when {
            runs.isEmpty() && (stop == null || call.endMs - lastByteMs <= LOSS_SLACK_MS) -> {
                Cut.NOT_READ
            }

            runs.any { it.end == RunEnd.BROKE_OFF } -> {
                Cut.UPSTREAM_BROKE_OFF
            }

            call.endMs >= call.sentMs + timeMs(call) - ROUNDING_MS -> {
                Cut.DEADLINE
            }

            records.isDisrupted(call) -> {
                Cut.DISRUPTED
            }

            stop != null && call.sentMs <= stop.atMs + TAKEN_MS && runs.any { it.endMs > stop.atMs + LATE_MS } -> {
                Cut.LATE_IN_STOP
            }

            else -> {
                Cut.BROKEN
            }
        }
    }

    private fun lost(call: Call) = if (cut(call) == Cut.BROKEN) Broken("lost", call) else null

    /** An answer is that of a run of the request, with its status and its whole body; a failure may be of our own. */
    private fun mixed(call: Call): Broken? {
        val runs = records.runsOf(call)
        val run = runs.find { it.signature == call.signature }
        val isSuccess = call.status / HUNDRED == 2
        val problem =
            when {
                call.end == CallEnd.NO_MESSAGE -> {
                    "no message: ${call.body}"
                }

                call.headMs == null -> {
                    null
                }

                call.answered != null && call.answered != call.request -> {
                    "answer to ${call.answered}"
                }

                call.signature == null -> {
                    "success without a signature".takeIf { isSuccess }
                }

                run == null -> {
                    "signature of no run of it: ${call.signature}"
                }

                run.status != call.status -> {
                    "status ${call.status} for ${run.status}, answers begun=${run.answers}"
                }

                run.body != null && call.end == CallEnd.WHOLE && isSuccess && run.body != call.body -> {
                    "other body: ${call.body.take(SHOWN_CHARS)}"
                }

                else -> {
                    null
                }
            }
        val kind = if (run != null && run.status != call.status) "${call.status}_for_${run.status}" else "other"
        return problem?.let { Broken("mixed", call, "$it signature=${call.signature} ${sendingsOf(call)}", kind) }
    }

    private fun order(call: Call): Broken? {
        val work = Work.of(call.path)
        if (work.route != RouteOfStops.STREAM || call.status != OK) return null
        val expected = work.wholeStream(call.request)
        val isKept = if (call.end == CallEnd.WHOLE) call.body == expected else expected.startsWith(call.body)
        if (isKept) return null
        val common = call.body.commonPrefixWith(expected).length
        val missing = expected.drop(common).take(SHOWN_CHARS)
        val came = call.body.drop(common).take(SHOWN_CHARS)
        return Broken("order", call, "after $common chars expected \"$missing\", came \"$came\"".replace('\n', ' '))
    }

    private fun ranTwice(call: Call) =
        if (isUnsafe(call) && records.runsOf(call).count { it.hasRun } > 1) Broken("ran_twice", call) else null

    private fun refusedAfterRun(call: Call): Broken? {
        val isRefused = isUnsafe(call) && call.status in REFUSALS
        return if (isRefused && records.runsOf(call).any { it.hasRun }) Broken("refused_after_run", call) else null
    }

    private fun held(call: Call): Broken? {
        val isHeld = call.end == CallEnd.HELD && call.headMs == null && call.lastByteMs != null
        return if (isHeld && !records.isDisrupted(call)) Broken("held", call) else null
    }

    private fun isUnsafe(call: Call) = Work.of(call.path).route == RouteOfStops.ORDER

    companion object {
        const val GRACE_MS = 8_000L
        const val AROUND_STOP_MS = GRACE_MS + 1_000

        /** A request that no upstream has got counts as read if its connection stays open for so long after its last byte. */
        const val LOSS_SLACK_MS = 200L

        /** A request that is sent up to here after SIGTERM may be cut if its upstream is still at work [LATE_MS] after it. */
        const val TAKEN_MS = 3_000L
        const val LATE_MS = GRACE_MS * 5 / 6

        /** Caller and instance each round the start and the end of a request to whole milliseconds. */
        private const val ROUNDING_MS = 2L
        private const val OK = 200
        private const val HUNDRED = 100
        private const val SHOWN_CHARS = 80
        private val REFUSALS = setOf(408, 429, 503)

        /** The time until the deadline of the caller or of the route. */
        fun timeMs(call: Call) = minOf(call.deadlineMs, Work.of(call.path).route.timeoutMs)
    }
}
