package samphirechute.serving.relay

import samphirechute.routing.placing.Placement
import samphirechute.serving.cluster.Route
import kotlin.math.max

/** The silence after which an attempt is given up: before the first byte, and between events. */
internal class AttemptLimits(
    val firstByteMs: Long,
    val nextEventMs: Long,
) {
    companion object {
        /** Upstreams are given some multiple of what was predicted before another is asked. */
        private const val SILENCE_FACTOR = 3L
        private const val STREAM_SILENCE_MS = 1_200L
        private const val STREAM_MARGIN_MS = 400L

        /** Callers leave after a gap of 2 s; an engine that reads a long prompt may pause for nearly as long. */
        private const val EVENT_SILENCE_MS = 1_400L
        private const val PLAIN_SILENCE_MS = 100L

        /** The part of the time left that the first attempt of a plain request may take. */
        private const val PLAIN_SHARE = 0.45

        /** The request's own deadline ends the last attempt. */
        private const val AFTER_DEADLINE_MS = 50L

        /** The limits of an attempt with [leftMs] to the deadline; the last one may take all of it. */
        fun of(
            route: Route,
            granted: Placement.Granted,
            leftMs: Long,
            isLast: Boolean,
        ): AttemptLimits {
            if (isLast) return AttemptLimits(leftMs + AFTER_DEADLINE_MS, leftMs + AFTER_DEADLINE_MS)
            val firstByteMs =
                if (route.isStream) {
                    max(STREAM_SILENCE_MS, SILENCE_FACTOR * granted.firstByteMs + STREAM_MARGIN_MS)
                } else {
                    max(PLAIN_SILENCE_MS, (leftMs * PLAIN_SHARE).toLong())
                }
            return AttemptLimits(firstByteMs, max(EVENT_SILENCE_MS, SILENCE_FACTOR * (route.targetGapMs ?: 0)))
        }
    }
}
