package samphirechute.net

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.QueryStringDecoder

/**
 * A complete request that [HttpServer] received. [path] is decoded and excludes the query, [sentPath] is the same as the
 * client sent it; header names are case-insensitive.
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
    val path: String = decoder.path()

    /** Frees the memory of the body; call it once the body is no longer needed. */
    fun dropBody() {
        body = ByteArray(0)
    }

    fun header(name: String): String? = headers[name]

    fun query(name: String): String? = decoder.parameters()[name]?.firstOrNull()
}
