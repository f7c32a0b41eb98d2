package samphirechute.net

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.QueryStringDecoder

/**
 * A complete request that [HttpServer] received. [path] is decoded and excludes the query, [sentPath] is the same as the
 * client sent it; a path that cannot be decoded is the same in both. Header names are case-insensitive.
 */
class ServerRequest(
    val method: String,
    uri: String,
    val headers: HttpHeaders,
    body: ByteArray,
) {
    var body = body
        private set

    private val decoder = QueryStringDecoder(uri)
    val uri: String = uri
    val sentPath: String = decoder.rawPath()
    val path: String = decodedOr(sentPath) { decoder.path() }

    /** Frees the memory of the body; call it once the body is no longer needed. */
    fun dropBody() {
        body = ByteArray(0)
    }

    fun header(name: String): String? = headers[name]

    /** Returns the value of a query parameter; null if there is none, or if the query cannot be decoded. */
    fun query(name: String): String? = decodedOr(emptyMap()) { decoder.parameters() }[name]?.firstOrNull()

    /** Returns [fallback] for a % that no two hexadecimal digits follow. */
    private fun <T> decodedOr(
        fallback: T,
        decode: () -> T,
    ): T =
        try {
            decode()
        } catch (_: IllegalArgumentException) {
            fallback
        }
}
