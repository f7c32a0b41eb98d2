package samphirechute.net

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes the responses on a client connection, which carries one call at a time. */
internal class ClientDecoder(
    maxHeadBytes: Int,
    maxChunkBytes: Int,
) : HttpResponseDecoder(maxHeadBytes, maxHeadBytes, maxChunkBytes) {
    /** Whether the current call is a HEAD request, whose response has no body although it states a length. */
    var isHeadCall = false

    /** While a message is handled, the bytes that were received behind it. */
    val undecoded: ByteBuf get() = internalBuffer()

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = isHeadCall || super.isContentAlwaysEmpty(message)
}
