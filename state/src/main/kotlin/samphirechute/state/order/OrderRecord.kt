package samphirechute.state.order

import samphirechute.core.OperationId
import samphirechute.core.UpstreamId
import samphirechute.state.command.UpstreamOrder

/** An order that is committed but not finished. */
data class OrderRecord(
    val operationId: OperationId,
    val upstream: UpstreamId,
    val order: UpstreamOrder,
)
