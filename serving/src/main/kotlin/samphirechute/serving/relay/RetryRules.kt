package samphirechute.serving.relay

/**
 * Counts the sendings and runs of one request and decides whether it may be sent again. A request runs at most once unless
 * its route is repeatable. [Relay] asks it after each attempt.
 */
internal class RetryRules(
    private val maxAttempts: Int,
    private val isRepeatable: Boolean,
    private val remainingMs: () -> Long,
    /** False if a stream has begun that no upstream can be told to continue. */
    private val canContinue: () -> Boolean,
) {
    /** All attempts, with those that never reached an upstream. */
    var sends = 0
        private set

    /** The sends that never reached an upstream; they do not count as sends, but have their own limit. */
    private var unsent = 0

    /** Attempts in which the request may have run; they count against the limit of the route. */
    private var runs = 0

    /** True once an upstream may have run the request; the final answer then must not say otherwise. */
    var mayHaveRun = false
        private set

    /** True if no further attempt is allowed should the next one run. */
    val isNextLast: Boolean get() = !isRepeatable || runs + 1 >= maxAttempts

    fun recordSend() {
        sends++
    }

    fun recordUnsent() {
        unsent++
    }

    fun recordRun() {
        mayHaveRun = true
        runs++
    }

    fun maySendAgain() =
        sends - unsent < maxAttempts + EXTRA_SENDS_IF_NOT_RUN && unsent <= MAX_UNSENT &&
            remainingMs() > MIN_REMAINING_MS

    fun mayRunAgain() = runs < maxAttempts && canContinue()

    /** Returns whether a request that may have run may run once more. */
    fun mayRepeat() = isRepeatable && mayRunAgain()

    /** Returns whether another upstream may take the request over from one that may be running it. */
    fun mayReplace() = !isNextLast && canContinue() && maySendAgain()

    private companion object {
        /** With less time than this before the deadline no further attempt is made. */
        const val MIN_REMAINING_MS = 20L

        /**
         * Attempts that may fail before anything is sent. When a failure domain is lost, several engines that were placed
         * cannot be reached; each attempt takes 400 ms at most, and the deadline ends them all.
         */
        const val MAX_UNSENT = 8

        /** Sends beyond the limit of the route, for attempts in which the upstream did not run the request. */
        const val EXTRA_SENDS_IF_NOT_RUN = 2
    }
}
