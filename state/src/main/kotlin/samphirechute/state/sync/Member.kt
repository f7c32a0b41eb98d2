package samphirechute.state.sync

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.InstanceId

/** An instance of the own failure domain, as this instance sees it. */
data class Member(
    val instance: InstanceId,
    val incarnation: Long,
    val heartbeat: Long,
    val revision: Long,
    val isLeaving: Boolean,
    val health: MemberHealth,
)

/** The health of a member, by the time since its heartbeat last advanced. See [SUSPECTED_MS] and [DEAD_MS]. */
enum class MemberHealth { ALIVE, SUSPECTED, DEAD }

/** A member as it is sent to other instances. */
@Serializable
data class MemberRow(
    @SerialName("i") val incarnation: Long,
    @SerialName("b") val heartbeat: Long,
    @SerialName("c") val revision: Long,
    @SerialName("l") val isLeaving: Boolean = false,
)
