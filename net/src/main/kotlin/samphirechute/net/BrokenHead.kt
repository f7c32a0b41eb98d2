package samphirechute.net

import io.netty.handler.codec.http.HttpResponse

/**
 * Recognizes a head that was broken off and is continued by the next response on the connection. A server that responds
 * twice may break the second response off. The decoder then joins both heads, so that the status is that of one response
 * and the fields are those of another.
 */
internal object BrokenHead {
    /** The beginning of a status line, with any case and any spaces that the decoder accepts. */
    private val STATUS_LINE = Regex("HTTP/\\d\\.\\d\\s+\\d{3}", RegexOption.IGNORE_CASE)
    private const val VERSION = "HTTP/"

    /** Returns whether the reason or a field of [response] contains a status line; a name has only its version. */
    fun isFoundIn(response: HttpResponse): Boolean =
        hasStatusLine(response.status().reasonPhrase()) ||
            response.headers().any { it.key.contains(VERSION, ignoreCase = true) || hasStatusLine(it.value) }

    private fun hasStatusLine(text: String) =
        text.contains(VERSION, ignoreCase = true) && STATUS_LINE.containsMatchIn(text)
}
