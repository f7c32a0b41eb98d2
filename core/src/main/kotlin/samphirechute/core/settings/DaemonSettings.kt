package samphirechute.core.settings

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import java.nio.file.Path

/** The checked settings of one daemon. */
data class DaemonSettings(
    val instance: InstanceId,
    val failureDomain: FailureDomain,
    val listen: HostPort,
    val peers: List<PeerSettings>,
    val store: StoreSettings? = null,
    val keys: AccessKeys = AccessKeys(),
    val limits: LimitSettings = LimitSettings(),
) {
    /** This instance as its peers know it. */
    val self: PeerSettings get() = PeerSettings(instance, failureDomain, listen, isStore = store != null)
}

/** Another instance of the system, as listed in the settings; the list includes this instance or leaves it out. */
data class PeerSettings(
    val instance: InstanceId,
    val failureDomain: FailureDomain,
    val address: HostPort,
    val isStore: Boolean,
)

/** Present on an instance that has a disk and holds durable state. */
data class StoreSettings(
    val dataFolder: Path,
)

/** Shared keys by role. A null key means that the role is open, which is accepted on loopback only. */
data class AccessKeys(
    val peer: String? = null,
    val upstream: String? = null,
    val operator: String? = null,
) {
    override fun toString() = "AccessKeys(***)"
}

/**
 * Bounds on what one instance takes in. A buffered byte takes several bytes of heap while its request is read and passed
 * on, so [maxBufferedBytes] is a small part of the heap of 48 MB that `bin/samphirechuted` gives.
 */
data class LimitSettings(
    val maxBodyBytes: Int = 8 * 1024 * 1024,
    val maxBufferedBytes: Long = 8L * 1024 * 1024,
    val maxHeadBytes: Int = 16 * 1024,
    val maxConnections: Int = 4_096,
    val stopLimitMs: Long = 600_000,
)
