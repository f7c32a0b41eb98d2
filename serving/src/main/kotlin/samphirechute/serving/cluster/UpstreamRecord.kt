package samphirechute.serving.cluster

import kotlinx.serialization.Serializable
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId

/** The newest that is known of one upstream, from its announcements. */
@Serializable
data class UpstreamRecord(
    val id: UpstreamId,
    val service: ServiceName,
    val address: HostPort,
    val failureDomain: FailureDomain,
    val slots: Int,
    val state: UpstreamState,
    /** Unix time of the upstream's start; a restart under the same identifier has a later one. */
    val bornMs: Long = 0,
    /** Grows with each announcement of one life. */
    val sequence: Long = 0,
    val coldRemainingMs: Long = 0,
    /** True when no announcement has come for some time. */
    val isSilent: Boolean = false,
) {
    /** True when this record replaces [other] of the same upstream. Within one life no earlier state follows a later one. */
    fun isNewerThan(other: UpstreamRecord): Boolean =
        when {
            bornMs != other.bornMs -> bornMs > other.bornMs
            other.state == UpstreamState.GONE -> false
            else -> compareValuesBy(this, other, { it.state.ordinal }, { it.sequence }, { it.isSilent }) > 0
        }
}

/** In the order in which they follow each other within one life. */
@Serializable
enum class UpstreamState { READY, DRAINING, GONE }
