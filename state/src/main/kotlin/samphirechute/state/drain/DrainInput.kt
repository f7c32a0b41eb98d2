package samphirechute.state.drain

import samphirechute.core.OperationId
import samphirechute.state.command.DrainTarget

/** What the drains of an instance react to. */
sealed class DrainInput {
    data object Ticked : DrainInput()

    /** An operator orders [target] out of service, here. It takes effect at once. */
    data class Ordered(
        val operationId: OperationId,
        val target: DrainTarget,
    ) : DrainInput()

    /**
     * An operator orders [target] back into service. It takes effect with the committed record; pending entries for
     * the target are committed before it, so that none of them takes the target out again later.
     */
    data class UndrainOrdered(
        val operationId: OperationId,
        val target: DrainTarget,
    ) : DrainInput()

    /** A record of the log became known here. */
    data class RecordLearned(
        val record: DrainRecord,
    ) : DrainInput()

    /** Another instance told its overlay entries. */
    data class EntriesLearned(
        val entries: Collection<OverlayEntry>,
    ) : DrainInput()

    /** The log gave the operation this version, now or when it was committed first. */
    data class CommandCommitted(
        val operationId: OperationId,
        val drainVersion: Long,
    ) : DrainInput()

    /** The command could not be committed, or its result is not known; it is sent again later. */
    data class CommitFailed(
        val operationId: OperationId,
    ) : DrainInput()
}
