package samphirechute.state.order

import samphirechute.core.HostPort
import samphirechute.core.OperationId
import samphirechute.core.UpstreamId
import samphirechute.state.command.Command
import samphirechute.state.command.UpstreamOrder

/** What [OrderDispatcher] asks its caller to do. */
sealed class OrderOutput {
    /** Send [order] to [address], and report the outcome as [OrderInput.Answered]. */
    data class Send(
        val operationId: OperationId,
        val attempt: Int,
        val upstream: UpstreamId,
        val address: HostPort,
        val order: UpstreamOrder,
        val fencingNumber: Long,
    ) : OrderOutput()

    /** Append the result of an order to the log. */
    data class Commit(
        val command: Command.FinishOrder,
    ) : OrderOutput()

    /** [upstream] has seen a higher term, so another member is leader by now. */
    data class Deposed(
        val upstream: UpstreamId,
    ) : OrderOutput()
}
