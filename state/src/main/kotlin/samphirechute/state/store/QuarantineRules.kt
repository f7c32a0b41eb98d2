package samphirechute.state.store

import kotlinx.serialization.Serializable
import samphirechute.core.InstanceId
import samphirechute.core.PromptPart
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult

/*
 * The command on quarantines of prompts. StoreState.apply calls it.
 */

/** The newest decision about prompts with all of [parts], and the log time at which it was recorded. */
@Serializable
data class QuarantineRecord(
    val parts: Set<PromptPart>,
    val isActive: Boolean,
    val round: Int,
    val probes: Int,
    val decidedBy: InstanceId,
    val atMs: Long,
)

/** Ignores a decision that is not newer than the recorded one. If there are too many, the oldest lifted one goes first. */
internal fun StoreState.recordQuarantine(command: Command.RecordQuarantine): Applied {
    val known = quarantines[command.parts]
    if (known != null && !isNewer(command, known)) return applied(CommandResult.Done)
    val record =
        QuarantineRecord(
            command.parts,
            command.isActive,
            command.round,
            command.probes,
            command.decidedBy,
            atMs,
        )
    val others = quarantines.remove(command.parts)
    val excess = (others.values.firstOrNull { !it.isActive } ?: others.values.firstOrNull())?.parts
    val kept = if (others.size < limits.maxQuarantines || excess == null) others else others.remove(excess)
    return applied(CommandResult.Done) { copy(quarantines = kept.put(command.parts, record)) }
}

private fun isNewer(
    command: Command.RecordQuarantine,
    known: QuarantineRecord,
) = if (command.round != known.round) command.round > known.round else command.probes > known.probes
