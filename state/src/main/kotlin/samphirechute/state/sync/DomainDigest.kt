package samphirechute.state.sync

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId

/**
 * A summary of a failure domain that its coordinator sends to all instances. A higher [epoch], and within it a higher
 * [sequence], is newer. [payload] is not interpreted here.
 */
@Serializable
data class DomainDigest(
    @SerialName("f") val failureDomain: FailureDomain,
    @SerialName("e") val epoch: Long,
    @SerialName("s") val sequence: Long,
    @SerialName("n") val coordinator: InstanceId,
    @SerialName("a") val address: HostPort,
    @SerialName("p") val payload: JsonElement = JsonNull,
    @SerialName("g") val ageMs: Long = 0,
) {
    internal val version: DigestVersion get() = DigestVersion(epoch, sequence)
}

/** The version of a digest among those of the same failure domain. */
internal data class DigestVersion(
    val epoch: Long,
    val sequence: Long,
) : Comparable<DigestVersion> {
    override fun compareTo(other: DigestVersion) = compareValuesBy(this, other, { it.epoch }, { it.sequence })
}
