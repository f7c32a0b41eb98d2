package samphirechute.routing.placing

/** Which rules a [Placer] follows. Each is off unless the settings of a deployment ask for it. */
data class PlacingPolicy(
    /** Orders queues by teams and work, and refuses early what would be late, see [WorkQueue]. */
    val isQueueByWork: Boolean = false,
    /** Selects engines by their observed speed, the recent mix of prompts and recent failures, see [EngineRules]. */
    val isSelectionAdaptive: Boolean = false,
    /** Gives upstreams less load while they respond late or fail. The cold rate is a bound in any case. */
    val isPaceAdaptive: Boolean = false,
)
