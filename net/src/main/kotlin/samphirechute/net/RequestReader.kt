package samphirechute.net

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import java.io.ByteArrayOutputStream

/** Collects the body of one request within the limit of a body and the budget of the process. */
internal class RequestReader(
    val head: HttpRequest,
    private var reservedBytes: Long,
    private val maxBodyBytes: Int,
    private val budget: BodyBudget,
) {
    private var body = ByteArrayOutputStream(minOf(reservedBytes, INITIAL_BYTES).toInt())

    /** Adds a piece; returns why the request is refused, or null. */
    fun append(piece: ByteBuf): ServerError? {
        val sizeBytes = body.size().toLong() + piece.readableBytes()
        if (sizeBytes > maxBodyBytes) return ServerError.BodyTooLarge(maxBodyBytes)
        val missingBytes = sizeBytes - reservedBytes
        if (missingBytes > 0) {
            if (!budget.reserve(missingBytes)) return ServerError.BuffersFull
            reservedBytes += missingBytes
        }
        piece.readBytes(body, piece.readableBytes())
        return null
    }

    fun toRequest() = ServerRequest(head.method().name(), head.uri(), head.headers(), body.toByteArray())

    /** Gives the reserved bytes back; calling it again has no effect. */
    fun discard() {
        budget.release(reservedBytes)
        reservedBytes = 0
        body = ByteArrayOutputStream(0)
    }

    private companion object {
        /** A client that announces much and sends little must not make the process allocate much. */
        const val INITIAL_BYTES = 64L * 1024
    }
}
