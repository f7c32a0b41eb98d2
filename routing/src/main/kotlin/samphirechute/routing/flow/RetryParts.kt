package samphirechute.routing.flow

/**
 * Divides the floor of the retry budget between the instances, which use their part without asking, and the coordinator,
 * which grants the rest where it is needed. The parts never add up to more than the floor, whatever the number of instances.
 */
object RetryParts {
    /**
     * The last quarter of each part is left to requests whose loss costs callers the most. One long prompt is worth as much
     * as twenty short ones, and there are about as many short ones to each long one.
     */
    const val KEPT_SHARE = 0.25

    fun ofInstance(
        floor: Int,
        instances: Int,
    ): Int = floor / 2 / instances.coerceAtLeast(1)

    fun ofCoordinator(floor: Int): Int = floor - floor / 2
}
