package samphirechute.state.drain

import samphirechute.core.OperationId
import samphirechute.state.command.DrainTarget

/** The inputs of [DrainTracker]. */
sealed class DrainInput {
    /** Time has passed. */
    data object Ticked : DrainInput()

    /** An operator ordered, at this instance, to take [target] out of service. It takes effect at once. */
    data class Ordered(
        val operationId: OperationId,
        val target: DrainTarget,
    ) : DrainInput()

    /**
     * An operator ordered to put [target] back into service. It takes effect with the committed record. Pending entries
     * for the target are committed first, so that none of them takes the target out of service again later.
     */
    data class UndrainOrdered(
        val operationId: OperationId,
        val target: DrainTarget,
    ) : DrainInput()

    /** A committed record became known here. */
    data class RecordLearned(
        val record: DrainRecord,
    ) : DrainInput()

    /** Overlay entries arrived from another instance. */
    data class EntriesLearned(
        val entries: Collection<OverlayEntry>,
    ) : DrainInput()

    /** The operation was committed with [drainVersion], now or by an earlier attempt. */
    data class CommandCommitted(
        val operationId: OperationId,
        val drainVersion: Long,
    ) : DrainInput()

    /** The command could not be committed, or its result is unknown. It is sent again later. */
    data class CommitFailed(
        val operationId: OperationId,
    ) : DrainInput()
}
