package samphirechute.routing.placing

/**
 * The parts of engine selection that follow what is observed. Each has a variant that does nothing. Used by [Placer].
 */
internal class EngineRules(
    val newSpeed: () -> EngineSpeed,
    val newMix: () -> PrefillMix,
    val splitRisk: SplitRisk,
) {
    companion object {
        val ADAPTIVE = EngineRules(::MeasuredSpeed, ::RecentPrefillMix, RecentFailureRisk)

        /** Takes engines to be as the configuration states them, for comparison in tests. */
        val FIXED = EngineRules({ EngineSpeed.Nominal }, { PrefillMix.Fixed }, SplitRisk.None)
    }
}
