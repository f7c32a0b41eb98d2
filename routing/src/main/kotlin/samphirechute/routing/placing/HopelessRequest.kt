package samphirechute.routing.placing

/** A request that was taken from the queue because it cannot start before its caller gives up. */
internal class HopelessRequest(
    val request: PlacementRequest,
    val expected: ExpectedWait,
    val waitedMs: Long,
)
