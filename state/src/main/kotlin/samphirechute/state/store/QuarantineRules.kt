package samphirechute.state.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.InstanceId
import samphirechute.core.RequestTrait
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult

/*
 * The command on quarantines of prompts. StoreState.apply calls it.
 */

/** The newest decision about prompts with all of [traits], and the log time at which it was recorded. */
@Serializable
data class QuarantineRecord(
    @SerialName("parts")
    val traits: Set<RequestTrait>,
    val isActive: Boolean,
    val round: Int,
    val probes: Int,
    val decidedBy: InstanceId,
    val atMs: Long,
)

/** Ignores a decision that is not newer than the recorded one. If there are too many, the oldest lifted one goes first. */
internal fun StoreState.recordQuarantine(command: Command.RecordQuarantine): Applied {
    val known = quarantines[command.traits]
    if (known != null && !isNewer(command, known)) return applied(CommandResult.Done)
    val record =
        QuarantineRecord(
            command.traits,
            command.isActive,
            command.round,
            command.probes,
            command.decidedBy,
            atMs,
        )
    val others = quarantines.remove(command.traits)
    val excess = (others.values.firstOrNull { !it.isActive } ?: others.values.firstOrNull())?.traits
    val kept = if (others.size < limits.maxQuarantines || excess == null) others else others.remove(excess)
    return applied(CommandResult.Done) { copy(quarantines = kept.put(command.traits, record)) }
}

private fun isNewer(
    command: Command.RecordQuarantine,
    known: QuarantineRecord,
) = if (command.round != known.round) command.round > known.round else command.probes > known.probes
