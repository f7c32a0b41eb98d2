package samphirechute.bench.system

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpHeaders
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

internal class Answer(
    val status: Int,
    val body: String,
    private val headers: HttpHeaders,
) {
    val location get() = header("Location")

    fun header(name: String): String? = headers.firstValue(name).orElse(null)

    fun json(): JsonObject = Json.parseToJsonElement(body).jsonObject

    override fun toString() = "$status $body"
}

/** Calls over plain HTTP/1.1 as other programs make them, with a deadline on each. */
internal object Http {
    private const val CONNECT_SECONDS = 2L
    private const val CALL_MS = 20_000L
    private val client =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(CONNECT_SECONDS))
            .build()

    fun call(
        address: String,
        method: String,
        path: String,
        body: String = "",
        headers: Map<String, String> = emptyMap(),
        limitMs: Long = CALL_MS,
    ): Answer {
        val request =
            HttpRequest
                .newBuilder(URI("http://$address$path"))
                .timeout(Duration.ofMillis(limitMs))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
        headers.forEach { (name, value) -> request.header(name, value) }
        val answer = client.send(request.build(), HttpResponse.BodyHandlers.ofString())
        return Answer(answer.statusCode(), answer.body(), answer.headers())
    }
}
