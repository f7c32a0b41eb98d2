package samphirechute.routing.placing

/** What the open upstreams of a service have left, summed up once for each look at its queue. */
internal class PoolCapacity(
    val upstreams: Int,
    val running: Int,
    val freeSlots: Int,
    /** Prefill placed on all engines that is not done, as time of one engine. */
    val prefillLeftMs: Double,
    val usedTokens: Long,
    val freeTokens: Long,
    /** The rate of requests at which all upstreams may be cold, or null if they do not start cold. */
    val coldPerS: Double?,
) {
    /** The number of engines that prefill long prompts at a time; the others are kept for short prompts that arrive. */
    val prefillEngines: Int get() = (upstreams - upstreams / KEPT_FREE_ONE_IN).coerceAtLeast(1)

    companion object {
        /** As in the selection of engines. */
        private const val KEPT_FREE_ONE_IN = 5

        /** Share of the cold rate that is granted to upstreams that are not known to be warm. */
        private const val COLD_SHARE = 0.9

        fun of(
            profile: PoolProfile,
            loads: List<UpstreamLoad>,
            nowMs: Long,
        ): PoolCapacity {
            val usable = loads.filterNot { it.isPaused(nowMs) }.ifEmpty { loads }
            val memoryTokens = profile.engine?.memoryTokens ?: 0
            return PoolCapacity(
                usable.size,
                usable.sumOf { it.running },
                usable.sumOf { (it.upstream.slots - it.running).coerceAtLeast(0) },
                usable.sumOf { it.prefillWaitMs(nowMs) },
                usable.sumOf { it.memoryTokens },
                usable.sumOf { (memoryTokens - it.memoryTokens).coerceAtLeast(0) },
                (profile.coldRequestsPerS * COLD_SHARE * usable.size).takeIf { it > 0 },
            )
        }
    }
}
