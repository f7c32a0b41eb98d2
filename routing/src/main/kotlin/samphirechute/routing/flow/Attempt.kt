package samphirechute.routing.flow

import samphirechute.routing.Grant
import samphirechute.routing.GrantEnding
import samphirechute.routing.GrantResult

/**
 * One attempt of a request at one upstream.
 *
 * [highestOffset] is the end of the furthest token received, including tokens that other attempts delivered already. An
 * attempt counts as active only while it advances, so one that repeats the same tokens is treated as silent.
 */
data class Attempt(
    val grant: Grant,
    val number: Int,
    val startOffset: Long,
    val dispatchedMs: Long,
    val isSent: Boolean = false,
    val highestOffset: Long = 0,
    val firstTokenAtMs: Long? = null,
    val lastActiveMs: Long = dispatchedMs,
) {
    internal fun advancedTo(
        endOffset: Long,
        nowMs: Long,
    ) = if (endOffset <= highestOffset) {
        this
    } else {
        copy(
            isSent = true,
            highestOffset = endOffset,
            firstTokenAtMs = firstTokenAtMs ?: nowMs,
            lastActiveMs = nowMs,
        )
    }

    internal fun result(
        ending: GrantEnding,
        nextOffset: Long,
    ): GrantResult {
        val generated = (nextOffset - startOffset).coerceAtLeast(0)
        val gaps = generated - 1
        return GrantResult(
            ending = ending,
            firstTokenMs = firstTokenAtMs?.let { it - dispatchedMs },
            tokenMs = firstTokenAtMs?.takeIf { gaps > 0 }?.let { (lastActiveMs - it).toDouble() / gaps },
            generatedTokens = generated,
            cachedTokens = grant.cachedTokens,
        )
    }
}
