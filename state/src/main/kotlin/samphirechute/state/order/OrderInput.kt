package samphirechute.state.order

import samphirechute.core.HostPort
import samphirechute.core.OperationId
import samphirechute.core.UpstreamId

/** What the order giver of a store member reacts to. */
sealed class OrderInput {
    data object Ticked : OrderInput()

    /** This member became store leader of [term]; [unfinished] are the open orders in the order of the log. */
    data class LeadershipBegan(
        val term: Long,
        val unfinished: List<OrderRecord>,
    ) : OrderInput()

    /** A quorum confirmed the leader; its lease ends at [untilMs] of the local clock unless it is confirmed again. */
    data class LeaderLeaseExtended(
        val untilMs: Long,
    ) : OrderInput()

    data object LeadershipEnded : OrderInput()

    /** An order was committed. */
    data class Issued(
        val record: OrderRecord,
    ) : OrderInput()

    /** The end of an order was committed. */
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

enum class OrderAnswer {
    DONE,

    /** The upstream refuses or failed the order for a reason that another attempt does not change. */
    FAILED,

    /** The upstream has seen a higher fencing number. */
    STALE_FENCING,

    /** No answer came, so the order may or may not have been carried out. */
    UNKNOWN,
}
