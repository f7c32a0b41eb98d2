package samphirechute.state.sync

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.InstanceId

/** One instance of the own failure domain, as this instance knows it. */
data class Member(
    val instance: InstanceId,
    val incarnation: Long,
    val heartbeat: Long,
    val revision: Long,
    val isLeaving: Boolean,
    val health: MemberHealth,
)

enum class MemberHealth { ALIVE, SUSPECTED, DEAD }

/** A member on the wire. */
@Serializable
data class MemberRow(
    @SerialName("i") val incarnation: Long,
    @SerialName("b") val heartbeat: Long,
    @SerialName("c") val revision: Long,
    @SerialName("l") val isLeaving: Boolean = false,
)
