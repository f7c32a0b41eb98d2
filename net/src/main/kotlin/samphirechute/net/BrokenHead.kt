package samphirechute.net

import io.netty.handler.codec.http.HttpResponse

/**
 * Recognizes a head that was broken off and is continued by the next response on the connection. A server that responds
 * twice may break the second response off. The decoder then joins both heads, so that the status is that of one response
 * and the fields are those of another.
 */
internal object BrokenHead {
    /** The beginning of a status line: version and status code. */
    private val STATUS_LINE = Regex("HTTP/\\d\\.\\d \\d{3}")
    private const val VERSION = "HTTP/"

    /** Returns whether the reason or a field of [response] contains a status line; a name has only its version. */
    fun isFoundIn(response: HttpResponse): Boolean =
        hasStatusLine(response.status().reasonPhrase()) ||
            response.headers().any { VERSION in it.key || hasStatusLine(it.value) }

    private fun hasStatusLine(text: String) = VERSION in text && STATUS_LINE.containsMatchIn(text)
}
