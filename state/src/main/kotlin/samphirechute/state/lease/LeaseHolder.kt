package samphirechute.state.lease

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.HostPort
import samphirechute.core.InstanceId

/** A process that holds the lease of its failure domain, or is a candidate for it, with the epoch of its term. */
@Serializable
data class LeaseHolder(
    @SerialName("n") val instance: InstanceId,
    @SerialName("i") val incarnation: Long,
    @SerialName("a") val address: HostPort,
    @SerialName("e") val epoch: Long,
) {
    internal fun isSameProcess(other: LeaseHolder) = instance == other.instance && incarnation == other.incarnation
}
