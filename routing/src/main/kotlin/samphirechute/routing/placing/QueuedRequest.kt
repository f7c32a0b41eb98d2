package samphirechute.routing.placing

/** A request in a [WorkQueue]. */
internal class QueuedRequest(
    val request: PlacementRequest,
    val sinceMs: Long,
    /** The time until which it may wait. */
    val untilMs: Long,
    val work: RequestWork,
    /** Order of arrival. */
    val sequence: Long,
)
