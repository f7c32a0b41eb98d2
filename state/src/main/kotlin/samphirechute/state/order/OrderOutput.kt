package samphirechute.state.order

import samphirechute.core.HostPort
import samphirechute.core.OperationId
import samphirechute.core.UpstreamId
import samphirechute.state.command.Command
import samphirechute.state.command.UpstreamOrder

/** What the order giver asks its instance to do. */
sealed class OrderOutput {
    data class Send(
        val operationId: OperationId,
        val attempt: Int,
        val upstream: UpstreamId,
        val address: HostPort,
        val order: UpstreamOrder,
        val fencingNumber: Long,
    ) : OrderOutput()

    data class Commit(
        val command: Command.FinishOrder,
    ) : OrderOutput()

    /** An upstream has seen a higher term, so this leader is no longer one. */
    data class Deposed(
        val upstream: UpstreamId,
    ) : OrderOutput()
}
