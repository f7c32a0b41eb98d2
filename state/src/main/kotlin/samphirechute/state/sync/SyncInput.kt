package samphirechute.state.sync

import kotlinx.serialization.json.JsonElement
import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import samphirechute.core.UpstreamId
import samphirechute.state.drain.DrainInput
import samphirechute.state.lease.LeaseHolder

/** The inputs of [SyncNode]. */
sealed class SyncInput {
    /** Time has passed. Sent at least every 100 ms. */
    data object Ticked : SyncInput()

    /** A message arrived, as a request or as the answer to one. */
    data class Received(
        val message: SyncMessage,
    ) : SyncInput()

    /** The [SyncMessage.Request] to instance [to] failed or was not answered in time. */
    data class Failed(
        val to: InstanceId,
    ) : SyncInput()

    /** The store member of this instance applied a published configuration, or read it from its disk. */
    data class ConfigurationCommitted(
        val configuration: Configuration,
    ) : SyncInput()

    /** Whether the store member of this instance is up to date with the log, so that it can be read. */
    data class StoreReadabilityChanged(
        val isReadable: Boolean,
    ) : SyncInput()

    /** A drain order, a record of the store member of this instance, or the result of a drain command. */
    data class DrainEvent(
        val input: DrainInput,
    ) : SyncInput()

    /** The holder of the lease of the own failure domain changed; null when there is none. */
    data class CoordinatorChanged(
        val holder: LeaseHolder?,
    ) : SyncInput()

    /** The digest of the own failure domain changed. Ignored unless this instance is its coordinator. */
    data class DigestChanged(
        val payload: JsonElement,
    ) : SyncInput()

    /** All grants that this instance now holds from the coordinator of [failureDomain]; null when there are none. */
    data class GrantsChanged(
        val failureDomain: FailureDomain,
        val payload: JsonElement?,
    ) : SyncInput()

    /** An upstream announced itself at this instance. */
    data class UpstreamReported(
        val upstream: UpstreamId,
        val report: JsonElement,
    ) : SyncInput()

    /** This instance is about to stop. */
    data object Leaving : SyncInput()
}
