package samphirechute.routing.pace

import kotlin.math.ceil
import kotlin.math.max

/**
 * The moments at which one of several placers that do not see each other's requests may grant a request to an upstream:
 * one in each interval, from a random moment on. A moment that is not used is lost after [VALID_MS]. If it were kept, an
 * idle time would leave each placer one request, and with more placers than the upstream takes per second these could
 * come together.
 */
internal class ShareSlots(
    private var dueMs: Double,
) {
    private var heldUntilMs = Long.MIN_VALUE / 2

    fun isDue(
        nowMs: Long,
        intervalMs: Double,
    ): Boolean {
        dropUnused(nowMs, intervalMs)
        return nowMs >= dueMs && nowMs >= heldUntilMs
    }

    fun recordGrant(
        nowMs: Long,
        intervalMs: Double,
    ) {
        dropUnused(nowMs, intervalMs)
        dueMs = max(dueMs, nowMs - VALID_MS) + intervalMs
    }

    /** Grants nothing until [untilMs]. */
    fun hold(untilMs: Long) {
        heldUntilMs = max(heldUntilMs, untilMs)
    }

    private fun dropUnused(
        nowMs: Long,
        intervalMs: Double,
    ) {
        val lateMs = nowMs - VALID_MS - dueMs
        if (lateMs > 0) dueMs += ceil(lateMs / intervalMs) * intervalMs
    }

    companion object {
        /** Long enough for the requests that a placer holds in its queue, which it tries every 20 ms. */
        const val VALID_MS = 500.0
    }
}
