package samphirechute.core

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a request ran at an upstream. Each response to a caller reports it. */
@Serializable
enum class RunState {
    /** No upstream has started or will start the request. */
    @SerialName("not_run")
    NOT_RUN,

    /** An upstream ran the request, and its result is known. */
    @SerialName("ran")
    RAN,

    /** An upstream may have run the request; the result was lost. */
    @SerialName("unknown")
    UNKNOWN,
    ;

    /** The name used on the wire. */
    val wireName: String get() = name.lowercase()
}
