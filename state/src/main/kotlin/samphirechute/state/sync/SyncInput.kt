package samphirechute.state.sync

import kotlinx.serialization.json.JsonElement
import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import samphirechute.core.UpstreamId
import samphirechute.state.drain.DrainInput
import samphirechute.state.lease.LeaseHolder

/** What the synchronisation of an instance reacts to. */
sealed class SyncInput {
    /** Time passed; sent at least each 100 ms. */
    data object Ticked : SyncInput()

    /** A message came, as a request or as the answer to one. */
    data class Received(
        val message: SyncMessage,
    ) : SyncInput()

    /** An [SyncMessage.Ask] to this instance failed, or was not answered in time. */
    data class Failed(
        val to: InstanceId,
    ) : SyncInput()

    /** The own store member applied a published configuration, or read it from its disk. */
    data class ConfigurationCommitted(
        val configuration: Configuration,
    ) : SyncInput()

    /** The own store member has caught up with the log, or no longer has. */
    data class StoreReadabilityChanged(
        val isCurrent: Boolean,
    ) : SyncInput()

    /** Orders, records of the own store member, and results of commands. */
    data class DrainEvent(
        val input: DrainInput,
    ) : SyncInput()

    /** The lease of the own failure domain has a holder, or none. */
    data class CoordinatorChanged(
        val holder: LeaseHolder?,
    ) : SyncInput()

    /** The digest of the own failure domain, told by its coordinator; ignored on other instances. */
    data class DigestChanged(
        val payload: JsonElement,
    ) : SyncInput()

    /** All grants of [failureDomain]'s coordinator that this instance holds now; null for none. */
    data class GrantsChanged(
        val failureDomain: FailureDomain,
        val payload: JsonElement?,
    ) : SyncInput()

    /** An upstream announced itself here. */
    data class UpstreamReported(
        val upstream: UpstreamId,
        val report: JsonElement,
    ) : SyncInput()

    /** This instance is about to stop. */
    data object Leaving : SyncInput()
}
