package samphirechute.daemon.caller

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Builds the JSON of completion answers: the whole answer, or the chunks of a stream. */
internal class CompletionJson(
    private val requestId: String,
    private val model: String,
    private val isChat: Boolean,
    private val createdSeconds: Long,
) {
    fun chunk(text: String) = if (isChat) chatChunk(text, null) else plain(text, null)

    fun finalChunk() = if (isChat) chatChunk(null, STOP) else plain("", STOP)

    fun wholeAnswer(
        text: String,
        usage: Usage,
    ): String {
        if (!isChat) return plain(text, STOP, usage)
        val choice = ChatChoice(message = Content("assistant", text), finishReason = STOP)
        val answer = ChatAnswer("chatcmpl-$requestId", "chat.completion", createdSeconds, model, listOf(choice), usage)
        return json.encodeToString(ChatAnswer.serializer(), answer)
    }

    private fun plain(
        text: String,
        finishReason: String?,
        usage: Usage? = null,
    ): String {
        val choices = listOf(PlainChoice(text = text, finishReason = finishReason))
        val answer = PlainAnswer("cmpl-$requestId", "text_completion", createdSeconds, model, choices, usage)
        return json.encodeToString(PlainAnswer.serializer(), answer)
    }

    private fun chatChunk(
        text: String?,
        finishReason: String?,
    ): String {
        val choice = ChatChoice(delta = Content(content = text), finishReason = finishReason)
        val answer =
            ChatAnswer("chatcmpl-$requestId", "chat.completion.chunk", createdSeconds, model, listOf(choice), null)
        return json.encodeToString(ChatAnswer.serializer(), answer)
    }

    /** Token counts of a whole answer. */
    @Serializable
    data class Usage(
        @SerialName("prompt_tokens") val promptTokens: Long,
        @SerialName("completion_tokens") val completionTokens: Long,
    )

    @Serializable
    private class PlainAnswer(
        val id: String,
        val `object`: String,
        val created: Long,
        val model: String,
        val choices: List<PlainChoice>,
        val usage: Usage?,
    )

    @Serializable
    private class PlainChoice(
        val index: Int = 0,
        val text: String,
        @SerialName("finish_reason") val finishReason: String?,
    )

    @Serializable
    private class ChatAnswer(
        val id: String,
        val `object`: String,
        val created: Long,
        val model: String,
        val choices: List<ChatChoice>,
        val usage: Usage?,
    )

    @Serializable
    private class ChatChoice(
        val index: Int = 0,
        val message: Content? = null,
        val delta: Content? = null,
        @SerialName("finish_reason") val finishReason: String?,
    )

    @Serializable
    private class Content(
        val role: String? = null,
        val content: String? = null,
    )

    private companion object {
        const val STOP = "stop"
        val json =
            Json {
                encodeDefaults = true
                explicitNulls = false
            }
    }
}
