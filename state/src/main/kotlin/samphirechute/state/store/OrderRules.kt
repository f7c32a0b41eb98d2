package samphirechute.state.store

import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult

/*
 * The commands on orders to upstreams. StoreState.apply calls these functions.
 */

/**
 * Records an order. The fencing number is the term of the issuing leader, so an order from an earlier leader is
 * refused.
 */
internal fun StoreState.issueOrder(command: Command.IssueOrder): Applied {
    if (command.fencingNumber < fencingNumber) {
        return rejected("stale_fencing_number", "${command.fencingNumber} is below $fencingNumber")
    }
    if (orders.size >= limits.maxOrders) return rejected("orders_full", "${limits.maxOrders} orders are kept")
    val record = OrderRecord(command.operationId, command.upstream, command.order, command.fencingNumber, atMs)
    return applied(CommandResult.Done) {
        copy(orders = orders.put(command.operationId, record), fencingNumber = command.fencingNumber)
    }
}

/** Records the outcome of an order. Later outcomes are ignored. */
internal fun StoreState.finishOrder(command: Command.FinishOrder): Applied {
    val current =
        orders[command.operationId]
            ?: return rejected("order_unknown", "'${command.operationId}' is unknown or has expired")
    if (current.finishedMs != null) return applied(CommandResult.Done)
    val record = current.copy(finishedMs = atMs, isDone = command.isDone, detail = command.detail)
    return applied(CommandResult.Done) { copy(orders = orders.put(command.operationId, record)) }
}
