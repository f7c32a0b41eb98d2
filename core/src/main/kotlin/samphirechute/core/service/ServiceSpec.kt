package samphirechute.core.service

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.PoolName
import samphirechute.core.ServiceName
import samphirechute.core.TeamName

/**
 * The validated definition of a service: who owns it, what serves it, how urgent it is and which of its requests must
 * not run twice. [ServiceFileReader] reads it from a file; operators publish sets of it.
 */
@Serializable
data class ServiceSpec(
    val name: ServiceName,
    val team: TeamName,
    val target: ServiceTarget,
    val mode: ServiceMode = ServiceMode.ANSWER,
    val urgency: Urgency = Urgency.NORMAL,
    val firstTokenMs: Long,
    val deadlineMs: Long,
    val neverRepeat: List<RequestRule> = emptyList(),
    val share: Int = 1,
) {
    /** Returns true if a request with this method, path and kind may run at most once. */
    fun isNonRepeatable(
        method: String,
        path: String,
        kind: String?,
    ) = neverRepeat.any { it.matches(method, path, kind) }
}

/** What answers the requests of a service. */
@Serializable
sealed class ServiceTarget {
    abstract val pool: PoolName

    /** Engines that serve a model. */
    @Serializable
    @SerialName("model")
    data class Model(
        override val pool: PoolName,
    ) : ServiceTarget()

    /** Processes of an application, which run no model. */
    @Serializable
    @SerialName("application")
    data class Application(
        override val pool: PoolName,
    ) : ServiceTarget()
}

/** Whether the caller waits for the answer, or fetches it later by identifier. */
@Serializable
enum class ServiceMode {
    @SerialName("answer")
    ANSWER,

    @SerialName("document")
    DOCUMENT,
}

/** How urgent the requests of a service are. Earlier entries go first; waiting requests gain priority by aging. */
@Serializable
enum class Urgency {
    @SerialName("interactive")
    INTERACTIVE,

    @SerialName("normal")
    NORMAL,

    @SerialName("background")
    BACKGROUND,
}
