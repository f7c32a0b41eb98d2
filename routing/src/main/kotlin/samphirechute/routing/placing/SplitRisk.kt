package samphirechute.routing.placing

import kotlin.math.roundToInt

/** Limits the engines over which a prompt is split while engines fail: it is lost if one of them does. */
internal interface SplitRisk {
    /** Returns whether a prompt may be split over the engine while others can meet its target. */
    fun isTrusted(
        load: UpstreamLoad,
        nowMs: Long,
    ): Boolean

    /** Returns the number of parts to prefer at most, of a service that has the engines [all]. */
    fun maxParts(
        all: Iterable<UpstreamLoad>,
        nowMs: Long,
    ): Int

    /** Splits prompts as if no engine could fail. */
    object None : SplitRisk {
        override fun isTrusted(
            load: UpstreamLoad,
            nowMs: Long,
        ) = true

        override fun maxParts(
            all: Iterable<UpstreamLoad>,
            nowMs: Long,
        ) = Int.MAX_VALUE
    }
}

/** Avoids engines that have recently failed, stalled or been silent, and splits less the more of them there are. */
internal object RecentFailureRisk : SplitRisk {
    /** Engines that crash repeatedly do so every few seconds, and a long prompt takes 4 to 8 s to its first event. */
    private const val RECENT_MS = 10_000L

    /** The number of recently failed engines that the engines of one prompt would contain on average. */
    private const val FAILURES_PER_PROMPT = 0.6
    private const val FEWEST_PARTS = 2

    override fun isTrusted(
        load: UpstreamLoad,
        nowMs: Long,
    ) = !load.upstream.isSilent && nowMs - load.lastFailureMs > RECENT_MS

    override fun maxParts(
        all: Iterable<UpstreamLoad>,
        nowMs: Long,
    ): Int {
        var engines = 0
        var failed = 0
        for (load in all) {
            engines++
            if (!isTrusted(load, nowMs)) failed++
        }
        if (failed == 0) return Int.MAX_VALUE
        return (FAILURES_PER_PROMPT * engines / failed).roundToInt().coerceAtLeast(FEWEST_PARTS)
    }
}
