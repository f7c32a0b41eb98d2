package samphirechute.net

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import java.io.ByteArrayOutputStream

/**
 * Collects the body of one request for [ServerConnection], within the size limit of a body and the [BodyBudget] of the
 * server. The announced length is reserved beforehand, the rest as it arrives.
 */
internal class RequestReader(
    val head: HttpRequest,
    private var reservedBytes: Long,
    private val maxBodyBytes: Int,
    private val budget: BodyBudget,
) {
    private var body = ByteArrayOutputStream(minOf(reservedBytes, INITIAL_BYTES).toInt())

    /** Appends a piece; returns an error when the request must be refused, otherwise null. */
    fun append(piece: ByteBuf): ServerError? {
        val sizeBytes = body.size().toLong() + piece.readableBytes()
        if (sizeBytes > maxBodyBytes) return ServerError.BodyTooLarge(maxBodyBytes)
        val additionalBytes = sizeBytes - reservedBytes
        if (additionalBytes > 0) {
            if (!budget.reserve(additionalBytes)) return ServerError.BuffersFull
            reservedBytes += additionalBytes
        }
        piece.readBytes(body, piece.readableBytes())
        return null
    }

    fun toRequest() = ServerRequest(head.method().name(), head.uri(), head.headers(), body.toByteArray())

    /** Drops the body and releases its reserved bytes; calling it again has no effect. */
    fun discard() {
        budget.release(reservedBytes)
        reservedBytes = 0
        body = ByteArrayOutputStream(0)
    }

    private companion object {
        /** Limits what is allocated for a client that announces a large body but sends little of it. */
        const val INITIAL_BYTES = 64L * 1024
    }
}
