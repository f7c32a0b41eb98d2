package samphirechute.routing.placing

import kotlin.math.exp
import kotlin.math.roundToInt

/** Decides how many engines of a service may prefill long prompts at a time; the others are kept for short prompts. */
internal interface PrefillMix {
    fun recordDemand(
        prefillMs: Double,
        isShort: Boolean,
        nowMs: Long,
    )

    fun maxPrefillEngines(engines: Int): Int

    /** Keeps one engine in five free. */
    object Fixed : PrefillMix {
        private const val KEPT_FREE_ONE_IN = 5

        override fun recordDemand(
            prefillMs: Double,
            isShort: Boolean,
            nowMs: Long,
        ) = Unit

        override fun maxPrefillEngines(engines: Int) = (engines - engines / KEPT_FREE_ONE_IN).coerceAtLeast(1)
    }
}

/**
 * Lets the engines kept free follow the share of short prompts in the recently requested prefill, for mixes that swing
 * within ten seconds between almost only short and mostly long prompts.
 */
internal class RecentPrefillMix : PrefillMix {
    private var shortMs = 0.0
    private var longMs = 0.0
    private var updatedMs = 0L

    override fun recordDemand(
        prefillMs: Double,
        isShort: Boolean,
        nowMs: Long,
    ) {
        if (nowMs > updatedMs) {
            val decay = exp((updatedMs - nowMs) / WINDOW_MS)
            shortMs *= decay
            longMs *= decay
            updatedMs = nowMs
        }
        if (isShort) shortMs += prefillMs else longMs += prefillMs
    }

    override fun maxPrefillEngines(engines: Int): Int {
        val allMs = shortMs + longMs
        if (allMs < LITTLE_MS_PER_ENGINE * engines) return PrefillMix.Fixed.maxPrefillEngines(engines)
        val share = (shortMs / allMs * SHORT_MARGIN).coerceIn(LEAST_FREE, MOST_FREE)
        return (engines - (engines * share).roundToInt()).coerceAtLeast(1)
    }

    private companion object {
        /** The mix swings within 10 s, and a request for a long prompt comes about once a second. */
        const val WINDOW_MS = 4_000.0

        /**
         * With less work than a quarter of what the engines prefill in the window there is spare capacity for either
         * kind.
         */
        const val LITTLE_MS_PER_ENGINE = WINDOW_MS / 4

        /** Short prompts spend most of their time on an engine decoding, which their prefill does not include. */
        const val SHORT_MARGIN = 1.5
        const val LEAST_FREE = 0.1
        const val MOST_FREE = 0.4
    }
}
