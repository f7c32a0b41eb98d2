package samphirechute.core.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId

/**
 * The instances listed in the settings of one instance, including itself. Instances of other failure domains are
 * [InstanceState.UNKNOWN], since a failure domain sends other domains only a digest of its state.
 */
@Serializable
data class InstancesView(
    val instances: List<InstanceView>,
)

@Serializable
data class InstanceView(
    val id: InstanceId,
    val failureDomain: FailureDomain,
    val address: HostPort,
    val state: InstanceState,
    val revision: Long,
    val incarnation: Long = 0,
    val isStore: Boolean = false,
)

@Serializable
enum class InstanceState {
    @SerialName("alive")
    ALIVE,

    @SerialName("suspected")
    SUSPECTED,

    @SerialName("dead")
    DEAD,

    /** Listed in the settings, but not seen by the responding instance; its revision is 0. */
    @SerialName("unknown")
    UNKNOWN,
}
