package samphirechute.serving.cluster

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.routing.placing.PlacingPolicy
import samphirechute.state.disk.Folder
import samphirechute.state.disk.NioFolder
import java.nio.file.Path

/** The settings of one process: its identity and how it finds the control instances. */
data class ServingSettings(
    /** The name in logs. */
    val name: String,
    val failureDomain: FailureDomain,
    /** Where other instances reach this one; its text form is also the instance's identifier. */
    val peerAddress: HostPort,
    /** Peer addresses of some control instances, as they were when the settings were written. */
    val seeds: List<HostPort>,
    /** True at the very first start of the whole system, when the seeds create the store. */
    val isFirstStart: Boolean = false,
    val dataFolder: Path? = null,
    /** The time between two announcements of an upstream. */
    val announceEveryMs: Long = 1_000,
    /** The retries that all instances together may make within ten seconds in addition to a share of the requests. */
    val retryFloor: Int = 100,
    /** The number of control instances that may be lost together with their disks at the same time. */
    val toleratedLosses: Int = 1,
    /** The rules by which requests are placed. */
    val placing: PlacingPolicy = PlacingPolicy(),
    /** Opens [dataFolder]; benches pass one that records what is durable. */
    val openFolder: (Path) -> Folder = ::NioFolder,
    /** Reads [seeds] again, which change as control instances are replaced; empty if that fails. */
    val readSeeds: () -> List<HostPort> = { seeds },
) {
    val instance: InstanceId get() = InstanceId(peerAddress.toString())
}

/** The address of an instance, which its identifier states; null for an identifier of another form. */
val InstanceId.address: HostPort? get() = HostPort.parse(value)
