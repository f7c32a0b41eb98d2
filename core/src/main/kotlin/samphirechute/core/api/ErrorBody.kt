package samphirechute.core.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.RunState

/** The body of every error response, to callers and to operators. */
@Serializable
data class ErrorBody(
    val error: ErrorDetail,
)

/** [code] is stable and meant for programs; [message] is meant for people. */
@Serializable
data class ErrorDetail(
    val code: String,
    val message: String,
    @SerialName("run_state")
    val runState: RunState,
    @SerialName("retry_after_ms")
    val retryAfterMs: Long? = null,
)
