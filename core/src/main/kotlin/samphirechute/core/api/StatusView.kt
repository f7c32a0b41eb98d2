package samphirechute.core.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId

/** One instance's view of the system. [reason] says why the instance is not ready. */
@Serializable
data class StatusView(
    val instance: InstanceId,
    val failureDomain: FailureDomain,
    val incarnation: Long,
    val readiness: Readiness,
    val reason: String? = null,
    val revision: Long,
    val domains: List<DomainView> = emptyList(),
    val store: StoreView = StoreView(),
    val drains: List<DrainView> = emptyList(),
)

@Serializable
enum class Readiness {
    @SerialName("starting")
    STARTING,

    @SerialName("ready")
    READY,

    /** The instance accepts no new requests and finishes those in progress. */
    @SerialName("leaving")
    LEAVING,
}

/** The coordinator of a failure domain; null when none is known. */
@Serializable
data class DomainView(
    val failureDomain: FailureDomain,
    val coordinator: InstanceId? = null,
    val epoch: Long = 0,
)

/** The leader of the store quorum; null when none is known. */
@Serializable
data class StoreView(
    val leader: InstanceId? = null,
    val term: Long = 0,
)
