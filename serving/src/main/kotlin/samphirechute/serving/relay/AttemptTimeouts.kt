package samphirechute.serving.relay

import samphirechute.routing.placing.Placement
import samphirechute.serving.cluster.Route
import kotlin.math.max

/**
 * The time without data after which an [Attempt] fails: before the first byte, and between events. [Relay] computes
 * them for each attempt.
 */
internal class AttemptTimeouts(
    val firstByteMs: Long,
    val nextEventMs: Long,
) {
    companion object {
        /**
         * In the fault scenario trouble-2, the first events of long prompts arrived within 1.5 times the prediction
         * plus 1 s.
         */
        private const val PREDICTION_FACTOR = 1.5
        private const val STREAM_MARGIN_MS = 1_000L

        /**
         * Callers give up after a gap of 2 s; an engine that prefills a long prompt may send nothing for nearly as
         * long.
         */
        private const val MIN_EVENT_SILENCE_MS = 1_400L
        private const val SILENCE_GAPS = 3L
        private const val MIN_PLAIN_SILENCE_MS = 100L

        /** Share of the remaining time that an attempt of a plain request may take if it is not the last. */
        private const val PLAIN_SHARE = 0.45

        /** The last attempt gets longer than the deadline, so that the deadline of the request ends it. */
        private const val AFTER_DEADLINE_MS = 50L

        /** Returns the timeouts of an attempt with [leftMs] to the deadline; the last attempt may use all of it. */
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
            return AttemptTimeouts(firstByteMs, max(MIN_EVENT_SILENCE_MS, SILENCE_GAPS * (route.targetGapMs ?: 0)))
        }
    }
}
