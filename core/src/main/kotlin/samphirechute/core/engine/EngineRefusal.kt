package samphirechute.core.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.RunState

/**
 * Body of an answer with status 409, 429 or 503: with [runState] `not_run`, the upstream did not run the request
 * named here, and will not. An answer that names another request, or none, says nothing about whether it ran.
 */
@Serializable
data class EngineRefusal(
    @SerialName("request_id") val requestId: String,
    val code: String,
    @SerialName("run_state") val runState: RunState,
)
