package samphirechute.core.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.PoolName
import samphirechute.core.UpstreamId

/** The upstreams of its failure domain that one instance knows. Only the coordinator knows all of them. */
@Serializable
data class UpstreamsView(
    val upstreams: List<UpstreamView>,
)

@Serializable
data class UpstreamView(
    val id: UpstreamId,
    val failureDomain: FailureDomain,
    val address: HostPort,
    val pools: List<PoolName>,
    val generation: Long,
    val state: UpstreamState,
    val load: UpstreamLoadView = UpstreamLoadView(),
    val limits: UpstreamLimitsView = UpstreamLimitsView(),
)

@Serializable
enum class UpstreamState {
    @SerialName("cold")
    COLD,

    @SerialName("warming")
    WARMING,

    @SerialName("warm")
    WARM,

    @SerialName("leaving")
    LEAVING,

    @SerialName("drained")
    DRAINED,
}

@Serializable
data class UpstreamLoadView(
    val runningRequests: Int = 0,
    val queuedPrefillTokens: Long = 0,
    val usedMemoryTokens: Long = 0,
)

/** The current limits. They are lower than the announced ones while the upstream is cold or warming. */
@Serializable
data class UpstreamLimitsView(
    val concurrency: Int = 0,
    val prefillTokens: Long = 0,
    val memoryTokens: Long = 0,
)
