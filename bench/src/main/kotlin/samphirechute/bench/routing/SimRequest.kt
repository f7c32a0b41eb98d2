package samphirechute.bench.routing

import samphirechute.core.InstanceId
import samphirechute.core.PoolName
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.core.service.Urgency
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantRequest
import samphirechute.routing.PromptPrefix

/** One request of a workload, and what became of it. Times are in milliseconds of virtual time; -1 means never. */
class SimRequest(
    val index: Int,
    val atMs: Long,
    val team: Int,
    val promptTokens: Long,
    val answerTokens: Long,
    val firstTokenMs: Long,
    val deadlineMs: Long,
    val prefix: PromptPrefix? = null,
    val urgency: Urgency = Urgency.NORMAL,
) {
    val id = RequestId("r$index")

    /** Which of the entry instances took the request. */
    val instance = index % INSTANCES
    val isLong: Boolean get() = promptTokens >= LONG_TOKENS
    val key = GrantKey(InstanceId("i$instance"), id, 1)

    var dispatchedMs = -1L
    var firstMs = -1L
    var doneMs = -1L
    var refusedMs = -1L
    var cachedTokens = 0L
    var expectedFirstTokenMs = 0L

    /** Memory on the engine that answers; the rest of a gang's is lent by others. */
    var memoryLimit = Long.MAX_VALUE

    val isDone: Boolean get() = doneMs >= 0

    /** Time from the caller's request to the first token. */
    val waitMs: Long get() = firstMs - atMs
    val totalMs: Long get() = doneMs - atMs
    val isInTime: Boolean get() = isDone && waitMs <= firstTokenMs && totalMs <= deadlineMs

    fun grantRequest(
        nowMs: Long,
        pool: PoolName = POOL,
    ) = GrantRequest(
        requestId = id,
        attempt = 1,
        instance = key.instance,
        service = ServiceName("s$team"),
        team = TeamName("t$team"),
        share = 1,
        urgency = urgency,
        pool = pool,
        promptTokens = promptTokens,
        maxTokens = MAX_ANSWER_TOKENS,
        prefixes = listOfNotNull(prefix),
        firstTokenRemainingMs = atMs + firstTokenMs - nowMs,
        remainingMs = atMs + deadlineMs - nowMs,
    )

    /** The same request, not run yet. */
    fun fresh() = numbered(index)

    /** The same request, not run yet, under another number. */
    fun numbered(number: Int) =
        SimRequest(number, atMs, team, promptTokens, answerTokens, firstTokenMs, deadlineMs, prefix, urgency)

    companion object {
        const val INSTANCES = 15
        const val LONG_TOKENS = 32_768L
        const val MAX_ANSWER_TOKENS = 1_024L
        val POOL = PoolName("chat")
    }
}
