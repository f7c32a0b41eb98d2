package samphirechute.state.drain

import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.command.DrainTarget

/** What the drains of an instance ask it to do. */
sealed class DrainOutput {
    /** Give the command to the store leader, and report [DrainInput.CommandCommitted] or [DrainInput.CommitFailed]. */
    data class Commit(
        val command: Command.SetDrain,
    ) : DrainOutput()

    /** The targets out of service changed. */
    data class Changed(
        val targets: Set<DrainTarget>,
    ) : DrainOutput()

    /** The record or the overlay changed, so other instances lack something. */
    data object Spread : DrainOutput()

    /** The undrain was committed under this version. */
    data class UndrainCommitted(
        val operationId: OperationId,
        val drainVersion: Long,
    ) : DrainOutput()
}
