package samphirechute.routing.flow.matrix

import samphirechute.core.RunState
import samphirechute.routing.flow.FlowOutcome

/** What a caller and an operator are guaranteed, whatever fault occurs. */
internal enum class Guarantee {
    FINISHED_IN_TIME,
    GIVEN_UP_AT_ONCE,
    WHOLE_ANSWER,
    NOTHING_LEAKED,
    NOT_RUN_IS_TRUE,
    AT_MOST_ONCE,
    CLAIM_SETTLED,
}

/** A guarantee that a run of a cell violated, with the facts that show it. */
internal data class Violation(
    val guarantee: Guarantee,
    val detail: String,
)

/** Checks the trace of a cell against every [Guarantee]. */
internal object Guarantees {
    fun check(trace: Trace): List<Violation> =
        trace.submissions.flatMap {
            checkDeadline(it) + checkNoIdleWait(it) + checkAnswer(it, trace) + checkReleases(it) +
                checkNotRun(it, trace)
        } +
            trace.heldAtEnd.map { Violation(Guarantee.NOTHING_LEAKED, "still held at the end: $it") } +
            checkAtMostOnce(trace) + checkClaimSettled(trace)

    private fun checkDeadline(sent: Submission): List<Violation> {
        if (sent.diedMs != null) return emptyList()
        val times = sent.outcomes.map { it.first }
        val isKept = times.size == 1 && times.single() <= sent.deadlineMs
        return violation(!isKept, Guarantee.FINISHED_IN_TIME) { "outcomes at $times, deadline ${sent.deadlineMs}" }
    }

    private fun checkNoIdleWait(sent: Submission): List<Violation> {
        val hasNoHint = sent.outcomes.any { (_, outcome) -> outcome.isFailure() && outcome.retryAfterMs == null }
        return violation(sent.idleMs != null, Guarantee.GIVEN_UP_AT_ONCE) { "nothing in progress at ${sent.idleMs}" } +
            violation(hasNoHint, Guarantee.GIVEN_UP_AT_ONCE) { "no retry hint: ${sent.outcomes}" }
    }

    private fun FlowOutcome.isFailure() = runState != RunState.RAN

    private fun checkAnswer(
        sent: Submission,
        trace: Trace,
    ): List<Violation> {
        val isWholeExpected = sent.outcomes.any { (_, outcome) -> !outcome.isFailure() && outcome.stored == null }
        val expected = (0L until trace.cell.profile.tokens).map { it to answerToken(it) }
        val isKept = if (isWholeExpected) sent.delivered == expected else isPrefix(sent.delivered, expected)
        return violation(!isKept, Guarantee.WHOLE_ANSWER) { "${sent.outcomes} after ${sent.delivered}" }
    }

    private fun <T> isPrefix(
        part: List<T>,
        whole: List<T>,
    ) = part.size <= whole.size && part == whole.subList(0, part.size)

    private fun checkReleases(sent: Submission): List<Violation> {
        val wrong = sent.releases.filterValues { if (sent.diedMs == null) it != 1 else it > 1 }
        val orphans = sent.runs.filter { sent.diedMs == null && it.isOrphan }.map { it.attempt }
        return violation(wrong.isNotEmpty(), Guarantee.NOTHING_LEAKED) { "releases ${wrong.values}" } +
            violation(orphans.isNotEmpty(), Guarantee.NOTHING_LEAKED) { "attempts $orphans not cancelled" }
    }

    /**
     * An outcome that says "not run" covers earlier submissions too once the store has answered, and otherwise only its
     * own submission.
     */
    private fun checkNotRun(
        sent: Submission,
        trace: Trace,
    ): List<Violation> {
        val (atMs, _) = sent.outcomes.firstOrNull { it.second.runState == RunState.NOT_RUN } ?: return emptyList()
        val own = trace.executions.filter { it.submission == sent.index }
        val earlier = trace.executions.filter { sent.hasAskedStore && it.atMs <= atMs }
        return violation((own + earlier).isNotEmpty(), Guarantee.NOT_RUN_IS_TRUE) { "not run, but ${own + earlier}" }
    }

    private fun checkAtMostOnce(trace: Trace) =
        violation(trace.cell.isNonRepeatable && trace.executions.size > 1, Guarantee.AT_MOST_ONCE) {
            "ran as ${trace.executions}"
        }

    private fun checkClaimSettled(trace: Trace): List<Violation> {
        val isOpen = trace.claimAtEnd == ClaimStatus.RUNNING && trace.submissions.all { it.diedMs == null }
        val lost = trace.submissions.filter { it.isAnsweredAndRecordable() }
        val isLost = lost.isNotEmpty() && trace.claimAtEnd != ClaimStatus.FINISHED
        return violation(isOpen, Guarantee.CLAIM_SETTLED) { "still running" } +
            violation(isLost, Guarantee.CLAIM_SETTLED) { "answered, but the claim is ${trace.claimAtEnd}" }
    }

    private fun Submission.isAnsweredAndRecordable() =
        hasClaim && diedMs == null && outcomes.any { it.second.runState == RunState.RAN }

    private fun violation(
        isBroken: Boolean,
        guarantee: Guarantee,
        detail: () -> String,
    ) = if (isBroken) listOf(Violation(guarantee, detail())) else emptyList()
}

/** The token at [offset] of the correct answer. */
internal fun answerToken(offset: Long) = "t$offset"
