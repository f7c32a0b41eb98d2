package samphirechute.net

import io.netty.handler.codec.http.HttpResponse

/**
 * Recognizes a head that was broken off and is continued by the next response on the connection. A server that responds
 * twice may break the second response off. The decoder then joins both heads, so that the status is that of one response
 * and the fields are those of another.
 */
internal object BrokenHead {
    /** Returns whether the reason or a field of [response] contains a status line; a name has only its version. */
    fun isFoundIn(response: HttpResponse): Boolean =
        StatusLine.isIn(response.status().reasonPhrase()) ||
            response.headers().any { StatusLine.hasVersion(it.key) || StatusLine.isIn(it.value) }
}
