package samphirechute.state.drain

import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.command.DrainTarget

/** What [DrainTracker] asks its caller to do. */
sealed class DrainOutput {
    /** Send the command to the store leader, and report [DrainInput.CommandCommitted] or [DrainInput.CommitFailed]. */
    data class Commit(
        val command: Command.SetDrain,
    ) : DrainOutput()

    /** The set of targets out of service changed. */
    data class Changed(
        val targets: Set<DrainTarget>,
    ) : DrainOutput()

    /** The record or the overlay changed, and the change must be sent to other instances. */
    data object Propagate : DrainOutput()

    /** The undrain was committed with this version. */
    data class UndrainCommitted(
        val operationId: OperationId,
        val drainVersion: Long,
    ) : DrainOutput()
}
