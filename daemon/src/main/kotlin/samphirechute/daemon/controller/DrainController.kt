package samphirechute.daemon.controller

import samphirechute.core.OperationId
import samphirechute.core.time.Subscription
import samphirechute.daemon.Runtime
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.command.DrainTarget
import samphirechute.state.drain.DrainInput
import samphirechute.state.drain.DrainOutput
import samphirechute.state.sync.SyncInput

/**
 * Starts and ends drains on behalf of operators, and commits them once a store leader is reachable. The operator API
 * calls [setDrain]; the drain state itself is kept by [SyncController].
 */
internal class DrainController(
    private val runtime: Runtime,
    private val store: StoreClient,
    private val sync: SyncController,
) {
    private val pendingReplies = HashMap<OperationId, PendingReply>()

    /**
     * Drains [target] or ends its drain. [onReply] gets the version of the committed record, or null when it is not
     * committed in time.
     */
    fun setDrain(
        operationId: OperationId,
        target: DrainTarget,
        isDrained: Boolean,
        onReply: (Long?) -> Unit,
    ) {
        runtime.ring.record("drain_ordered", null, "target" to target.label(), "drained" to isDrained)
        pendingReplies.remove(operationId)?.timeout?.cancel()
        val timeout = runtime.timer.after(REPLY_TIMEOUT_MS) { reply(operationId, null) }
        pendingReplies[operationId] = PendingReply(onReply, timeout)
        val input =
            if (isDrained) DrainInput.Ordered(operationId, target) else DrainInput.UndrainOrdered(operationId, target)
        sync.feed(SyncInput.DrainEvent(input))
    }

    /** Proposes a drain change to the store and feeds the result back into the drain state. */
    fun commit(command: Command.SetDrain) {
        store.propose(command, COMMIT_TIMEOUT_MS) { result ->
            val drained = (result as? StoreResult.Committed)?.result as? CommandResult.Drained
            val input =
                if (drained == null) {
                    DrainInput.CommitFailed(command.operationId)
                } else {
                    DrainInput.CommandCommitted(command.operationId, drained.drainVersion)
                }
            sync.feed(SyncInput.DrainEvent(input))
            if (drained != null && command.isDrained) reply(command.operationId, drained.drainVersion)
        }
    }

    fun handleUndrainCommitted(result: DrainOutput.UndrainCommitted) = reply(result.operationId, result.drainVersion)

    private fun reply(
        operationId: OperationId,
        drainVersion: Long?,
    ) {
        val entry = pendingReplies.remove(operationId) ?: return
        entry.timeout.cancel()
        entry.onReply(drainVersion)
    }

    private class PendingReply(
        val onReply: (Long?) -> Unit,
        val timeout: Subscription,
    )

    private companion object {
        const val REPLY_TIMEOUT_MS = 3_000L
        const val COMMIT_TIMEOUT_MS = 2_000L
    }
}
