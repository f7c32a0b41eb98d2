package samphirechute.bench.limits

/** What an upstream says of its limit from [fromMs] on; [namedMs] is when an answer first said so, null if none did. */
internal data class LimitStep(
    val fromMs: Long,
    val perS: Double?,
    val namedMs: Long?,
)

/** A request of an instance that arrived, or an answer to it that named a limit. */
internal data class Contact(
    val atMs: Long,
    val sender: String,
    val request: String = "",
)

/** The time in which what [sender] sends is not counted. */
internal data class Excuse(
    val sender: String,
    val fromMs: Long,
    val untilMs: Long,
)

/** The requests of a span of [WindowCheck.WINDOW_MS]. */
internal data class Window(
    val fromMs: Long,
    val perS: Double,
    val senders: Map<String, Int>,
    /** The count without instances that were excused, or not yet told, at any time of the span. */
    val countOfSteady: Int,
) {
    val count get() = senders.values.sum()
    val allowed get() = WindowCheck.FACTOR * perS * WindowCheck.WINDOW_MS / MS_PER_SECOND + WindowCheck.EXTRA
    val isBroken get() = count > allowed

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}

/**
 * Checks the rule LIMIT for one upstream: what instances that had been told its limit sent in any span.
 *
 * A limit that replaces another one is obeyed from the same time after it was first named as a first one; until then the
 * higher of the two counts. Each request is judged by what its sender was told, and whether it was excused, when it arrived.
 */
internal class WindowCheck(
    private val steps: List<LimitStep>,
    arrivals: List<Contact>,
    private val told: List<Contact>,
    private val excuses: List<Excuse>,
) {
    private val counted = arrivals.filter(::isCounted).sortedBy { it.atMs }

    /** All spans in which a limit was in force and that may have the most requests. */
    fun windows(): List<Window> {
        val changes = steps.flatMap { listOfNotNull(it.fromMs - WINDOW_MS, it.namedMs?.plus(KEPT_AFTER_MS)) }
        return (changes + counted.map { it.atMs }).distinct().sorted().mapNotNull(::window)
    }

    /** The worst broken spans, none of which overlaps another. */
    fun broken(): List<Window> {
        val worst = ArrayList<Window>()
        val order = compareByDescending<Window> { it.count / it.allowed }.thenByDescending { it.countOfSteady }
        for (window in windows().filter { it.isBroken }.sortedWith(order)) {
            if (worst.none { Math.abs(it.fromMs - window.fromMs) < WINDOW_MS }) worst += window
        }
        return worst.sortedBy { it.fromMs }
    }

    private fun window(fromMs: Long): Window? {
        val perS = limitOf(fromMs) ?: return null
        val inside = counted.filter { it.atMs >= fromMs && it.atMs < fromMs + WINDOW_MS }
        val steady = inside.count { isTold(it.sender, fromMs) && !isExcused(it.sender, fromMs, fromMs + WINDOW_MS - 1) }
        return Window(fromMs, perS, inside.groupingBy { it.sender }.eachCount().toSortedMap(), steady)
    }

    /** The highest limit that may hold at any time of the span, or null if there may be a time without one. */
    private fun limitOf(fromMs: Long): Double? {
        val inForce =
            steps.filterIndexed { index, step ->
                val replacedMs = steps.drop(index + 1).mapNotNull { it.namedMs }.minOrNull()
                step.fromMs < fromMs + WINDOW_MS && (replacedMs == null || replacedMs + KEPT_AFTER_MS > fromMs)
            }
        return if (inForce.any { it.perS == null }) null else inForce.mapNotNull { it.perS }.maxOrNull()
    }

    private fun isCounted(arrival: Contact) =
        isTold(arrival.sender, arrival.atMs) && !isExcused(arrival.sender, arrival.atMs, arrival.atMs)

    /** Whether [sender] knew [TOLD_BEFORE_MS] before [atMs] that the upstream has a limit. */
    private fun isTold(
        sender: String,
        atMs: Long,
    ): Boolean {
        val sinceMs = steps.lastOrNull { it.perS == null && it.fromMs <= atMs }?.fromMs ?: 0
        return told.any { it.sender == sender && it.atMs >= sinceMs && it.atMs <= atMs - TOLD_BEFORE_MS }
    }

    private fun isExcused(
        sender: String,
        fromMs: Long,
        toMs: Long,
    ) = excuses.any { it.sender == sender && it.fromMs <= toMs && it.untilMs > fromMs }

    companion object {
        const val WINDOW_MS = 4_000L
        const val KEPT_AFTER_MS = 3_000L
        const val TOLD_BEFORE_MS = 500L
        const val FACTOR = 1.5
        const val EXTRA = 5
    }
}
