package samphirechute.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import samphirechute.daemon.http.RequestError
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException

/** The fields of a completion request that the daemon uses; other fields are accepted and ignored. */
internal class CompletionBody(
    val model: String,
    val prompt: String,
    val maxTokens: Long,
    val isStream: Boolean,
) {
    companion object {
        const val DEFAULT_MAX_TOKENS = 256L
        const val MAX_TOKENS_LIMIT = 65_536L
        private val json = Json { ignoreUnknownKeys = true }

        fun parse(
            bytes: ByteArray,
            isChat: Boolean,
        ): Result<CompletionBody, RequestError> {
            val text = decode(bytes) ?: return Err(RequestError.InvalidBody("the body is not valid UTF-8"))
            return try {
                if (isChat) chat(text) else plain(text)
            } catch (error: SerializationException) {
                Err(
                    RequestError.InvalidBody(
                        "the body is not a valid request: ${error.message?.lineSequence()?.first()}",
                    ),
                )
            }
        }

        private fun decode(bytes: ByteArray): String? =
            try {
                Charsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString()
            } catch (_: CharacterCodingException) {
                null
            }

        private fun plain(text: String) =
            json
                .decodeFromString(
                    PlainWire.serializer(),
                    text,
                ).let { checked(it.model, it.prompt, it.maxTokens, it.stream) }

        private fun chat(text: String): Result<CompletionBody, RequestError> {
            val wire = json.decodeFromString(ChatWire.serializer(), text)
            if (wire.messages.isEmpty()) {
                return Err(
                    RequestError.InvalidBody("'messages' must hold at least one message"),
                )
            }
            val prompt = wire.messages.joinToString("\n") { "${it.role}: ${it.content}" }
            return checked(wire.model, prompt, wire.maxTokens, wire.stream)
        }

        private fun checked(
            model: String,
            prompt: String,
            maxTokens: Long,
            isStream: Boolean,
        ): Result<CompletionBody, RequestError> {
            if (maxTokens !in 1..MAX_TOKENS_LIMIT) {
                return Err(RequestError.InvalidBody("'max_tokens' must be from 1 to $MAX_TOKENS_LIMIT"))
            }
            return Ok(CompletionBody(model, prompt, maxTokens, isStream))
        }
    }

    // The names of the classes below appear in the parse errors that callers get.
    @Serializable
    private class PlainWire(
        val model: String = "",
        val prompt: String,
        @SerialName("max_tokens") val maxTokens: Long = DEFAULT_MAX_TOKENS,
        val stream: Boolean = false,
    )

    @Serializable
    private class ChatWire(
        val model: String = "",
        val messages: List<MessageWire>,
        @SerialName("max_tokens") val maxTokens: Long = DEFAULT_MAX_TOKENS,
        val stream: Boolean = false,
    )

    @Serializable
    private class MessageWire(
        val role: String,
        val content: String,
    )
}
