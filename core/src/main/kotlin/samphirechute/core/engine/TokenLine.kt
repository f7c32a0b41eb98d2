package samphirechute.core.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One line of the answer of an engine: a token at [offset], or the end of the answer when [done] is true, with
 * [totalTokens] counted from the start of the whole answer.
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
