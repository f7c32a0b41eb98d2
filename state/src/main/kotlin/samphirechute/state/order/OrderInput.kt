package samphirechute.state.order

import samphirechute.core.HostPort
import samphirechute.core.OperationId
import samphirechute.core.UpstreamId

/** The inputs of [OrderDispatcher]. */
sealed class OrderInput {
    /** Time has passed. */
    data object Ticked : OrderInput()

    /** This member became store leader of [term]. [unfinished] are the open orders, sorted as in the log. */
    data class LeadershipBegan(
        val term: Long,
        val unfinished: List<OrderRecord>,
    ) : OrderInput()

    /** A quorum confirmed the leader. Its lease ends at [untilMs] of the local clock unless it is confirmed again. */
    data class LeaderLeaseExtended(
        val untilMs: Long,
    ) : OrderInput()

    /** This member is no longer store leader. */
    data object LeadershipEnded : OrderInput()

    /** An order was committed. */
    data class Issued(
        val record: OrderRecord,
    ) : OrderInput()

    /** The result of an order was committed. */
    data class Finished(
        val operationId: OperationId,
    ) : OrderInput()

    /** An upstream announced itself. */
    data class UpstreamSeen(
        val upstream: UpstreamId,
        val address: HostPort,
        val checksFencing: Boolean,
    ) : OrderInput()

    /** The upstream answered [OrderOutput.Send], or the answer was lost. */
    data class Answered(
        val operationId: OperationId,
        val attempt: Int,
        val answer: OrderAnswer,
        val detail: String = "",
    ) : OrderInput()
}

/** The outcome of one attempt to send an order. */
enum class OrderAnswer {
    /** The upstream executed the order. */
    DONE,

    /** The upstream refused or failed the order, and another attempt would have the same outcome. */
    FAILED,

    /** The upstream has seen a higher fencing number. */
    STALE_FENCING,

    /** There was no answer, so the order may or may not have been executed. */
    UNKNOWN,
}
