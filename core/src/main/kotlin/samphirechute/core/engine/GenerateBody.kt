package samphirechute.core.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.RequestId

/**
 * Asks an engine to generate an answer (`POST /v1/generate`), starting at [resumeOffset] of the answer. [lenders] are
 * other engines that lend memory to the request, if the prompt needs more than this engine has.
 */
@Serializable
data class GenerateBody(
    @SerialName("request_id") val requestId: RequestId,
    val attempt: Int,
    val model: String,
    val prompt: String,
    @SerialName("prompt_tokens") val promptTokens: Long,
    @SerialName("max_tokens") val maxTokens: Long,
    @SerialName("resume_offset") val resumeOffset: Long = 0,
    val priority: Int = 0,
    @SerialName("deadline_ms") val deadlineMs: Long,
    val lenders: List<String> = emptyList(),
    /** The part of the memory that this engine itself provides, if there are [lenders]. */
    @SerialName("memory_tokens") val memoryTokens: Long? = null,
)

/** Asks an engine to stop a request and free its memory (`POST /v1/cancel`). */
@Serializable
data class CancelBody(
    @SerialName("request_id") val requestId: RequestId,
    /** The attempt to stop; null stops every attempt of the request. */
    val attempt: Int? = null,
)

/** The body of a 429 or 503 response to [GenerateBody]: the engine has not run the request [requestId]. */
@Serializable
data class RefusalBody(
    @SerialName("request_id") val requestId: String? = null,
    val code: String = "",
)
