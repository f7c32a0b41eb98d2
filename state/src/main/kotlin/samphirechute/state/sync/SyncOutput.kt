package samphirechute.state.sync

import kotlinx.serialization.json.JsonElement
import samphirechute.core.InstanceId
import samphirechute.state.command.Command
import samphirechute.state.command.DrainTarget
import samphirechute.state.drain.DrainOutput

/** What the synchronisation of an instance asks it to do. */
sealed class SyncOutput {
    data class Send(
        val to: InstanceId,
        val message: SyncMessage,
    ) : SyncOutput()

    /** The answer to the message just received; it goes into the body of the HTTP response. */
    data class Answer(
        val message: SyncMessage,
    ) : SyncOutput()

    /** A newer configuration is in force here. */
    data class ConfigurationApplied(
        val configuration: Configuration,
    ) : SyncOutput()

    /** This instance has asked whom it could reach, and may take requests. Sent once. */
    data object Ready : SyncOutput()

    data class DrainsChanged(
        val targets: Set<DrainTarget>,
    ) : SyncOutput()

    /** Give the command to the store leader, and report [samphirechute.state.drain.DrainInput.CommandCommitted] or failed. */
    data class CommitDrain(
        val command: Command.SetDrain,
    ) : SyncOutput()

    data class UndrainCommitted(
        val result: DrainOutput.UndrainCommitted,
    ) : SyncOutput()

    data class DigestsChanged(
        val digests: List<DomainDigest>,
    ) : SyncOutput()

    /** An instance told the coordinator, which is this instance, all grants of it that it holds; null for none. */
    data class GrantsReported(
        val instance: InstanceId,
        val payload: JsonElement?,
    ) : SyncOutput()

    /** Give these upstream reports to the coordinator, which may be this instance. */
    data class ForwardReports(
        val to: InstanceId,
        val reports: List<JsonElement>,
    ) : SyncOutput()

    /** The health, incarnation or revision of a member of the own failure domain changed. */
    data class MemberChanged(
        val member: Member,
    ) : SyncOutput()
}
