package samphirechute.cli.output

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ErrorBody
import samphirechute.core.api.ErrorDetail
import java.io.ByteArrayOutputStream

/** Takes the text out of a streamed completion, given as server-sent events. */
internal class AnswerText(
    private val onText: (String) -> Unit,
) {
    private val pending = ByteArrayOutputStream()

    /** True once the end mark has arrived; an answer that ends without it is cut. */
    var isComplete = false
        private set

    /** The error that ended the answer, if one did. */
    var error: ErrorDetail? = null
        private set

    /** Lines are cut at the byte of the line end, so that a character in two pieces stays whole. */
    fun accept(bytes: ByteArray) {
        for (byte in bytes) {
            if (byte == LINE_END) {
                line(pending.toString(Charsets.UTF_8).trimEnd('\r'))
                pending.reset()
            } else {
                pending.write(byte.toInt())
            }
        }
    }

    private fun line(line: String) {
        if (!line.startsWith(DATA)) return
        val data = line.removePrefix(DATA).trim()
        if (data == END_MARK) {
            isComplete = true
            return
        }
        val event = parse(data) ?: return
        if ("error" in event) error = runCatching { ApiJson.decodeFromString<ErrorBody>(data).error }.getOrNull()
        textOf(event)?.let(onText)
    }

    companion object {
        private const val LINE_END = '\n'.code.toByte()
        private const val DATA = "data:"
        private const val END_MARK = "[DONE]"

        /** The text of a whole or partial completion; null when it has none. */
        fun textOf(completion: JsonObject): String? {
            val choice = (completion["choices"] as? JsonArray)?.firstOrNull() as? JsonObject ?: return null
            val message = choice["delta"] ?: choice["message"]
            return text(choice["text"]) ?: text((message as? JsonObject)?.get("content"))
        }

        fun parse(json: String): JsonObject? =
            try {
                Json.parseToJsonElement(json) as? JsonObject
            } catch (e: SerializationException) {
                null
            }

        private fun text(element: JsonElement?) = (element as? JsonPrimitive)?.contentOrNull
    }
}
