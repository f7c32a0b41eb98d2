package samphirechute.routing.flow

/**
 * Determines when an attempt without activity is abandoned. The limits are multiples of the times that the grant
 * predicts, because a fixed limit would be too short for a long prompt or too long for a short one.
 */
internal object SilenceLimit {
    private const val FIRST_TOKEN_FACTOR = 3
    private const val TOKEN_FACTOR = 20
    private const val SLACK_MS = 1_000L

    /** Opening a connection takes one round trip, so after a second the address is considered unreachable. */
    private const val CONNECT_MS = 1_000L

    /** A non-repeatable request is not retried, so giving up early would only make its outcome unknown. */
    private const val NON_REPEATABLE_FACTOR = 4

    /** The time at which [attempt] counts as silent if it shows no activity until then. */
    fun silentAtMs(
        attempt: Attempt,
        request: FlowRequest,
    ): Long {
        if (!attempt.isSent) return attempt.dispatchedMs + CONNECT_MS
        val factor = if (request.isNonRepeatable) NON_REPEATABLE_FACTOR else 1
        return attempt.lastActiveMs + factor * allowedMs(attempt, request)
    }

    private fun allowedMs(
        attempt: Attempt,
        request: FlowRequest,
    ): Long {
        val grant = attempt.grant
        val isUnknown = grant.expectedFirstTokenMs <= 0 && grant.expectedTokenMs <= 0
        return when {
            attempt.firstTokenAtMs != null -> (TOKEN_FACTOR * grant.expectedTokenMs).toLong() + SLACK_MS
            isUnknown -> maxOf(SLACK_MS, (request.deadlineMs - attempt.dispatchedMs) / 2)
            else -> FIRST_TOKEN_FACTOR * grant.expectedFirstTokenMs + SLACK_MS
        }
    }
}
