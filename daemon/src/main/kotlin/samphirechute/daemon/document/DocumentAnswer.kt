package samphirechute.daemon.document

import kotlinx.serialization.Serializable

/** The answer to a document as it is kept on disk. */
@Serializable
internal data class DocumentAnswer(
    val model: String,
    val isChat: Boolean,
    val text: String,
    val promptTokens: Long,
    val completionTokens: Long,
)
