package samphirechute.serving.cluster

import kotlinx.serialization.Serializable
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId

/** The newest known state of one upstream, from its announcements. */
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
    /** Grows with each announcement of one incarnation. */
    val sequence: Long = 0,
    val coldRemainingMs: Long = 0,
    /** True when no announcement has come for some time. */
    val isSilent: Boolean = false,
) {
    /**
     * True when this record replaces [other] of the same upstream. Within one incarnation, states only move forward.
     */
    fun isNewerThan(other: UpstreamRecord): Boolean =
        when {
            bornMs != other.bornMs -> bornMs > other.bornMs
            other.state == UpstreamState.GONE -> false
            else -> compareValuesBy(this, other, { it.state.ordinal }, { it.sequence }, { it.isSilent }) > 0
        }
}

/** The states of an upstream, in the order in which one incarnation passes through them. */
@Serializable
enum class UpstreamState { READY, DRAINING, GONE }
