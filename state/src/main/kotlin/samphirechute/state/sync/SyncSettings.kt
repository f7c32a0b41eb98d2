package samphirechute.state.sync

import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId

/** Who synchronises with whom. [peers] may include this instance. */
data class SyncSettings(
    val self: InstanceId,
    val failureDomain: FailureDomain,
    val incarnation: Long,
    val peers: List<SyncPeer>,
)

/** Another instance, as the settings list it. */
data class SyncPeer(
    val instance: InstanceId,
    val failureDomain: FailureDomain,
    val isStore: Boolean,
)
