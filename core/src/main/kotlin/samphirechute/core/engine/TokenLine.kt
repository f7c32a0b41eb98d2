package samphirechute.core.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One line of an engine's response: a token at [offset] or, if [done] is true, the end of the answer. [totalTokens] is
 * counted from the start of the whole answer, also after a resume.
 */
@Serializable
data class TokenLine(
    @SerialName("request_id") val requestId: String,
    val offset: Long = 0,
    val text: String = "",
    val done: Boolean = false,
    @SerialName("total_tokens") val totalTokens: Long = 0,
    @SerialName("cached_tokens") val cachedTokens: Long = 0,
)
