package samphirechute.net

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

/**
 * The errors that [HttpServer] itself responds with. All but [Internal] refuse the request before it reaches the
 * handler, so it was not run.
 */
sealed class ServerError(
    val status: Int,
    val code: String,
    val message: String,
) {
    data object Malformed : ServerError(400, "malformed_request", "the request is not valid HTTP/1.1")

    data class HeadTooLarge(
        val limitBytes: Int,
    ) : ServerError(431, "head_too_large", "request line and headers are limited to $limitBytes bytes")

    data class BodyTooLarge(
        val limitBytes: Int,
    ) : ServerError(413, "body_too_large", "request bodies are limited to $limitBytes bytes")

    data class TooSlow(
        val limitMs: Long,
    ) : ServerError(408, "request_timeout", "no data arrived for $limitMs ms before the request was complete")

    data object BuffersFull :
        ServerError(503, "buffers_full", "this instance holds as many request bodies as it can; retry in 1 s")

    data object MemoryFull :
        ServerError(503, "memory_full", "this instance holds as many request heads as it can; retry in 1 s")

    data object Internal : ServerError(500, "internal", "this instance failed to handle the request")

    fun body() = Json.encodeToString(JsonObject.serializer(), toJson()).encodeToByteArray()

    private fun toJson() =
        buildJsonObject {
            putJsonObject("error") {
                put("code", code)
                put("message", message)
                put("run_state", if (this@ServerError == Internal) "unknown" else "not_run")
                if (this@ServerError == BuffersFull ||
                    this@ServerError == MemoryFull
                ) {
                    put("retry_after_ms", RETRY_AFTER_MS)
                }
            }
        }

    private companion object {
        const val RETRY_AFTER_MS = 1_000
    }
}
