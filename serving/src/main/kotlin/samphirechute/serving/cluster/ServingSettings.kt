package samphirechute.serving.cluster

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import java.nio.file.Path

/** What one process is told about itself and about how to find others. */
data class ServingSettings(
    /** The name in logs. */
    val name: String,
    val failureDomain: FailureDomain,
    /** Where other instances reach this one; its text is also the instance's identifier. */
    val peerAddress: HostPort,
    /** Peer addresses of some control instances, as they were when the settings were written. */
    val seeds: List<HostPort>,
    /** True at the very first start of the whole system, when the seeds found the store. */
    val isFirstStart: Boolean = false,
    val dataFolder: Path? = null,
    /** The time between two announcements of an upstream. */
    val announceEveryMs: Long = 1_000,
    /** Retries that all instances together may add within ten seconds, beside a share of the requests. */
    val retryFloor: Int = 100,
    /** Control instances that may be lost with their disks at one time. */
    val toleratedLosses: Int = 1,
) {
    val instance: InstanceId get() = InstanceId(peerAddress.toString())
}

/** The address of an instance whose identifier is its address. */
val InstanceId.address: HostPort? get() = HostPort.parse(value)
