package samphirechute.state.sync

import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId

/** The settings of [SyncNode]: this instance and its [peers], which may include itself. */
data class SyncSettings(
    val self: InstanceId,
    val failureDomain: FailureDomain,
    val incarnation: Long,
    val peers: List<SyncPeer>,
)

/** An instance to synchronise with, as listed in the settings. */
data class SyncPeer(
    val instance: InstanceId,
    val failureDomain: FailureDomain,
    val isStore: Boolean,
)
