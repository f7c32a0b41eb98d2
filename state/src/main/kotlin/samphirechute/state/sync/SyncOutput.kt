package samphirechute.state.sync

import kotlinx.serialization.json.JsonElement
import samphirechute.core.InstanceId
import samphirechute.state.command.Command
import samphirechute.state.command.DrainTarget
import samphirechute.state.drain.DrainOutput

/** What [SyncNode] asks its caller to do. */
sealed class SyncOutput {
    /** Send [message] to another instance. */
    data class Send(
        val to: InstanceId,
        val message: SyncMessage,
    ) : SyncOutput()

    /** Answer the message just received; [message] is the body of the HTTP response. */
    data class Answer(
        val message: SyncMessage,
    ) : SyncOutput()

    /** A newer configuration is in force on this instance. */
    data class ConfigurationApplied(
        val configuration: Configuration,
    ) : SyncOutput()

    /** This instance has asked the peers that it could reach, and may accept requests. Sent once. */
    data object Ready : SyncOutput()

    /** The set of targets out of service changed. */
    data class DrainsChanged(
        val targets: Set<DrainTarget>,
    ) : SyncOutput()

    /**
     * Send the command to the store leader, and report [samphirechute.state.drain.DrainInput.CommandCommitted] or
     * [samphirechute.state.drain.DrainInput.CommitFailed].
     */
    data class CommitDrain(
        val command: Command.SetDrain,
    ) : SyncOutput()

    /** An undrain was committed. */
    data class UndrainCommitted(
        val result: DrainOutput.UndrainCommitted,
    ) : SyncOutput()

    /** The digests changed: there is a newer one, or one has become too old. */
    data class DigestsChanged(
        val digests: List<DomainDigest>,
    ) : SyncOutput()

    /** [instance] reported all grants that it holds from this instance, the coordinator; null when there are none. */
    data class GrantsReported(
        val instance: InstanceId,
        val payload: JsonElement?,
    ) : SyncOutput()

    /** Send these upstream reports to the coordinator, which may be this instance. */
    data class ForwardReports(
        val to: InstanceId,
        val reports: List<JsonElement>,
    ) : SyncOutput()

    /** The health, incarnation or revision of a member of the own failure domain changed. */
    data class MemberChanged(
        val member: Member,
    ) : SyncOutput()
}
