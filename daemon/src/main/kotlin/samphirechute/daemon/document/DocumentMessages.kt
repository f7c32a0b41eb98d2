package samphirechute.daemon.document

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.InstanceId
import samphirechute.core.ServiceName
import samphirechute.state.command.Claimant
import samphirechute.state.store.DocumentRecord

/** The prompt of a document as it is kept on disk. */
@Serializable
internal data class DocumentPrompt(
    val model: String,
    val isChat: Boolean,
    val prompt: String,
    val maxTokens: Long,
)

/** Tells an instance that it was assigned a document. */
@Serializable
internal data class RunMessage(
    val record: DocumentRecord,
    val runner: Claimant,
    val remainingMs: Long,
)

@Serializable
internal data class FindMessage(
    val id: String,
)

/** What a store member knows of a document; null when it knows none of that name. */
@Serializable
internal data class FindReply(
    val record: DocumentRecord? = null,
)

/** What the caller of a document is told until it is finished. */
@Serializable
internal data class DocumentView(
    val id: String,
    val status: String,
    val service: ServiceName,
    @SerialName("runner") val runner: InstanceId? = null,
)
