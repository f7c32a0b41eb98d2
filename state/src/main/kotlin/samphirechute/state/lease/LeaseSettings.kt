package samphirechute.state.lease

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId

/**
 * The voters of the coordinator lease of one failure domain. [voters] includes [self] and is the same on all of them.
 * Change it by one voter at a time, so that a majority of the old list and one of the new list always share a voter.
 *
 * [incarnation] is the wall time of the process start in milliseconds. It is also the lowest epoch of this voter:
 * voters keep nothing on disk, so a restarted one has forgotten the epochs it saw, but its start time is above them.
 */
data class LeaseSettings(
    val self: InstanceId,
    val failureDomain: FailureDomain,
    val address: HostPort,
    val incarnation: Long,
    val voters: Set<InstanceId>,
) {
    internal val majority: Int get() = voters.size / 2 + 1
}
