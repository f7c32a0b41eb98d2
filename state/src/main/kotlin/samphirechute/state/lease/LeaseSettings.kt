package samphirechute.state.lease

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId

/**
 * Who takes part in the coordinator lease of one failure domain. [voters] includes [self] and is the same on all of
 * them; changing it takes one voter at a time, so that the majorities of two lists always share a voter.
 *
 * [incarnation] is the wall time of the process start in milliseconds. It is also the lowest epoch of this voter:
 * a voter without a disk forgets the epochs it has seen, and its start is later than all of them.
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
