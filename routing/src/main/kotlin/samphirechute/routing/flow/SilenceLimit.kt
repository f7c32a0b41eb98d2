package samphirechute.routing.flow

/**
 * Decides when an attempt that shows no activity is abandoned. The limits are multiples of the times that the grant
 * expects, because a fixed limit is either too short for a long prompt or too long for a short one.
 */
internal object SilenceLimit {
    private const val FIRST_TOKEN_FACTOR = 3
    private const val TOKEN_FACTOR = 20
    private const val SLACK_MS = 1_000L

    /** Opening a connection takes one round trip, so a second of it means that the address does not answer. */
    private const val CONNECT_MS = 1_000L

    /** No retry follows a non-repeatable request, so an early end of the wait would gain nothing but an unknown. */
    private const val NON_REPEATABLE_FACTOR = 4

    /** The time at which [attempt] counts as silent unless it shows activity before. */
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
