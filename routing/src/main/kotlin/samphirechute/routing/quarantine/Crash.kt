package samphirechute.routing.quarantine

import samphirechute.core.UpstreamId
import kotlin.math.abs

/** The end of an upstream, as the attempts show it that ended with it. */
data class Crash(
    val upstream: UpstreamId,
    val endedMs: Long,
) {
    /** Returns whether both are one: instances notice the end of an upstream at slightly different times. */
    fun isSame(other: Crash) = upstream == other.upstream && abs(endedMs - other.endedMs) < SAME_CRASH_MS

    private companion object {
        /** Shorter than any restart. */
        const val SAME_CRASH_MS = 500L
    }
}
