package samphirechute.routing.flow

import samphirechute.routing.Grant

/**
 * Computes when the timeouts of one [RequestFlow] are due: when the request can no longer be answered by its deadline,
 * when an attempt counts as silent, and when to ask again for a claim or a grant.
 */
internal class FlowTimes(
    private val request: FlowRequest,
) {
    private var lastGrant: Grant? = null

    fun recordGrant(grant: Grant) {
        lastGrant = grant
    }

    /** The expected time from dispatch to the end of the answer when [nextOffset] tokens were delivered already. */
    fun neededMs(
        grant: Grant,
        nextOffset: Long,
    ) = grant.expectedFirstTokenMs + afterFirstTokenMs(grant, nextOffset)

    /** The shortest time that another attempt can take, according to the last grant if there was one. */
    fun minRunMs(nextOffset: Long) = lastGrant?.let { neededMs(it, nextOffset) } ?: request.minRunMs

    fun latestGrantMs(nextOffset: Long) = request.deadlineMs - minRunMs(nextOffset)

    /** When to ask again after a response with a retry hint. The hint is clamped to reasonable waits. */
    fun askAgainMs(
        retryAfterMs: Long,
        nowMs: Long,
    ) = nowMs + retryAfterMs.coerceIn(MIN_WAIT_MS, MAX_WAIT_MS)

    /** The timeout that is due in [state], or null. */
    fun dueTimeout(
        state: FlowState,
        nextOffset: Long,
        nowMs: Long,
    ): FlowTimeout? =
        when (state) {
            is FlowState.Claiming -> {
                FlowTimeout.ASK_CLAIM_AGAIN.takeIf { hasPassed(state.askAgainMs, nowMs) }
            }

            is FlowState.AwaitingGrant -> {
                when {
                    nowMs > latestGrantMs(nextOffset) -> FlowTimeout.GRANT_TOO_LATE
                    hasPassed(state.askAgainMs, nowMs) -> FlowTimeout.ASK_GRANT_AGAIN
                    else -> null
                }
            }

            is FlowState.Dispatched -> {
                when {
                    nowMs >= silentAtMs(state.attempt) -> FlowTimeout.SILENT
                    nowMs > latestFirstTokenMs(state.attempt) -> FlowTimeout.FIRST_TOKEN_TOO_LATE
                    else -> null
                }
            }

            is FlowState.Streaming -> {
                FlowTimeout.SILENT.takeIf { nowMs >= silentAtMs(state.attempt) }
            }

            FlowState.Accepted, is FlowState.Recording, is FlowState.Finished -> {
                null
            }
        }

    /** The latest time at which a flow in [state] needs its next input. */
    fun nextDueMs(
        state: FlowState,
        nextOffset: Long,
    ): Long {
        val dueMs =
            when (state) {
                FlowState.Accepted, is FlowState.Recording -> {
                    request.deadlineMs
                }

                is FlowState.Claiming -> {
                    state.askAgainMs ?: request.deadlineMs
                }

                is FlowState.AwaitingGrant -> {
                    minOf(
                        state.askAgainMs ?: request.deadlineMs,
                        latestGrantMs(nextOffset) + 1,
                    )
                }

                is FlowState.Dispatched -> {
                    minOf(silentAtMs(state.attempt), latestFirstTokenMs(state.attempt) + 1)
                }

                is FlowState.Streaming -> {
                    silentAtMs(state.attempt)
                }

                is FlowState.Finished -> {
                    return Long.MAX_VALUE
                }
            }
        return minOf(dueMs, request.deadlineMs)
    }

    private fun latestFirstTokenMs(attempt: Attempt) =
        request.deadlineMs - afterFirstTokenMs(attempt.grant, attempt.startOffset)

    private fun silentAtMs(attempt: Attempt) = SilenceLimit.silentAtMs(attempt, request)

    private fun hasPassed(
        dueMs: Long?,
        nowMs: Long,
    ) = dueMs != null && nowMs >= dueMs

    private fun afterFirstTokenMs(
        grant: Grant,
        nextOffset: Long,
    ) = ((request.expectedTokens - nextOffset - 1).coerceAtLeast(0) * grant.expectedTokenMs).toLong()

    private companion object {
        const val MIN_WAIT_MS = 50L
        const val MAX_WAIT_MS = 1_000L
    }
}
