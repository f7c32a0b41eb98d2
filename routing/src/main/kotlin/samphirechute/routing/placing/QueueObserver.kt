package samphirechute.routing.placing

import samphirechute.core.RequestId

/** Receives each decision on the queues of a placer, to log and count it. */
interface QueueObserver {
    fun queued(
        request: PlacementRequest,
        expected: ExpectedWait,
    ) = Unit

    /** A request left the queue with [placement] after [waitedMs]. */
    fun dequeued(
        request: PlacementRequest,
        placement: Placement,
        waitedMs: Long,
    ) = Unit

    /** The caller of a request left after [waitedMs] in the queue, or the request is placed elsewhere. */
    fun withdrawn(
        request: RequestId,
        waitedMs: Long,
    ) = Unit

    /** A request was refused for its [expected] wait: on arrival, or after [waitedMs] in the queue. */
    fun refused(
        request: PlacementRequest,
        expected: ExpectedWait,
        refused: Placement.Refused,
        waitedMs: Long,
    ) = Unit

    /** Observes nothing. */
    object None : QueueObserver
}
