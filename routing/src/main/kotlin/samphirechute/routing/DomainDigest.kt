package samphirechute.routing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.PoolName

/**
 * A summary of one failure domain, by which instances choose the domain for a request. Of two digests of one domain,
 * the one with the higher [epoch], then the higher [sequence], is newer.
 *
 * The fields have short names on the wire because every instance forwards digests.
 */
@Serializable
data class DomainDigest(
    @SerialName("d") val failureDomain: FailureDomain,
    @SerialName("e") val epoch: Long,
    @SerialName("s") val sequence: Long,
    @SerialName("c") val coordinator: InstanceId?,
    @SerialName("a") val address: HostPort?,
    @SerialName("x") val isDrained: Boolean = false,
    @SerialName("p") val pools: Map<PoolName, PoolDigest> = emptyMap(),
) {
    fun isNewerThan(other: DomainDigest) = epoch > other.epoch || (epoch == other.epoch && sequence > other.sequence)
}

/**
 * The usable upstreams of one pool in a failure domain: their free memory, the predicted time to the first token of a
 * short prompt, and their number.
 */
@Serializable
data class PoolDigest(
    @SerialName("m") val freeTokens: Long,
    @SerialName("f") val firstTokenMs: Long,
    @SerialName("n") val upstreams: Int,
)
