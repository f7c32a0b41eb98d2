package samphirechute.core.settings

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import java.nio.file.Path

/** The validated settings of one daemon, as read by [SettingsReader]. */
data class DaemonSettings(
    val instance: InstanceId,
    val failureDomain: FailureDomain,
    val listen: HostPort,
    val peers: List<PeerSettings>,
    val store: StoreSettings? = null,
    val keys: AccessKeys = AccessKeys(),
    val limits: LimitSettings = LimitSettings(),
) {
    /** The entry of this instance as it must appear in the peer lists of other instances. */
    val self: PeerSettings get() = PeerSettings(instance, failureDomain, listen, isStore = store != null)
}

/** An instance in the list of peers. The list may include this instance itself. */
data class PeerSettings(
    val instance: InstanceId,
    val failureDomain: FailureDomain,
    val address: HostPort,
    val isStore: Boolean,
)

/** Settings of a store member: an instance that has a disk and holds durable state. Absent on other instances. */
data class StoreSettings(
    val dataFolder: Path,
)

/** Shared keys by role. A null key means that the role needs no key, which is allowed on loopback only. */
data class AccessKeys(
    val peer: String? = null,
    val upstream: String? = null,
    val operator: String? = null,
) {
    override fun toString() = "AccessKeys(***)"
}

/**
 * Limits on what one instance accepts. Each buffered byte uses several bytes of heap while its request is read and
 * forwarded, so [maxBufferedBytes] is a small part of the 48 MB heap that `bin/samphirechuted` sets.
 */
data class LimitSettings(
    val maxBodyBytes: Int = 8 * 1024 * 1024,
    val maxBufferedBytes: Long = 8L * 1024 * 1024,
    val maxHeadBytes: Int = 16 * 1024,
    val maxConnections: Int = 4_096,
    val stopLimitMs: Long = 600_000,
)
