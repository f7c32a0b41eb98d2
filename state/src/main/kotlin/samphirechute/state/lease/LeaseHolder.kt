package samphirechute.state.lease

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.HostPort
import samphirechute.core.InstanceId

/** One process that holds, or asks for, the lease of its failure domain under one epoch. */
@Serializable
data class LeaseHolder(
    @SerialName("n") val instance: InstanceId,
    @SerialName("i") val incarnation: Long,
    @SerialName("a") val address: HostPort,
    @SerialName("e") val epoch: Long,
) {
    internal fun isSameProcess(other: LeaseHolder) = instance == other.instance && incarnation == other.incarnation
}
