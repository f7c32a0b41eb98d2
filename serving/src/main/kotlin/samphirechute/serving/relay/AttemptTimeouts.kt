package samphirechute.serving.relay

import samphirechute.routing.placing.Placement
import samphirechute.serving.cluster.Route
import kotlin.math.max

/** The silence after which an attempt is given up: before the first byte, and between events. */
internal class AttemptTimeouts(
    val firstByteMs: Long,
    val nextEventMs: Long,
) {
    companion object {
        /** First events of long prompts came within 1.5 times the prediction and 1 s in the plays of trouble-2. */
        private const val PREDICTION_FACTOR = 1.5
        private const val STREAM_MARGIN_MS = 1_000L

        /** Callers leave after a gap of 2 s; an engine that reads a long prompt may pause for nearly as long. */
        private const val MIN_EVENT_SILENCE_MS = 1_400L
        private const val SILENCE_GAP_FACTOR = 3L
        private const val MIN_PLAIN_SILENCE_MS = 100L

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
        ): AttemptTimeouts {
            if (isLast) return AttemptTimeouts(leftMs + AFTER_DEADLINE_MS, leftMs + AFTER_DEADLINE_MS)
            val firstByteMs =
                if (route.isStream) {
                    (PREDICTION_FACTOR * granted.firstByteMs).toLong() + STREAM_MARGIN_MS
                } else {
                    max(MIN_PLAIN_SILENCE_MS, (leftMs * PLAIN_SHARE).toLong())
                }
            return AttemptTimeouts(firstByteMs, max(MIN_EVENT_SILENCE_MS, SILENCE_GAP_FACTOR * (route.targetGapMs ?: 0)))
        }
    }
}
