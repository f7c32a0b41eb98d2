package samphirechute.serving.relay

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import samphirechute.net.Exchange
import java.util.Locale

@Serializable
private data class RefusalBody(
    val error: String,
)

private const val MS_PER_SECOND = 1_000.0

/** Sends a [refusal] as the answer. The Retry-After field is in seconds, with a fraction. */
internal fun Exchange.answerWith(refusal: Refusal) {
    val retryAfter =
        refusal.retryAfterMs?.let { mapOf("Retry-After" to String.format(Locale.ROOT, "%.3f", it / MS_PER_SECOND)) }
    val body = Json.encodeToString(RefusalBody.serializer(), RefusalBody(refusal.code)).encodeToByteArray()
    respond(refusal.status, "application/json", body, retryAfter.orEmpty())
}
