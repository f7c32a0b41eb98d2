package samphirechute.net

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion

/** One call, from the search for a connection to its end. */
internal class ActiveCall(
    private val request: ClientRequest,
    private val listener: ResponseListener,
) : ClientCall {
    private var channel: Channel? = null
    private var writer: BodyWriter? = null
    private var isDone = false
    private var isReading = true

    fun start(connected: Channel) {
        if (isDone) {
            connected.close()
            return
        }
        channel = connected
        connected.connection().serve(this)
        connected.config().isAutoRead = isReading
        listener.onSending()
        connected.write(head())
        val body = BodyWriter(connected, request.body)
        // Set before the first write, during which the connection may already ask for more.
        writer = body
        body.resume()
    }

    fun connectFailed(cause: Throwable?) =
        failed(ClientFailure.ConnectFailed(cause?.message ?: "no connection to ${request.address}"))

    /** True once the whole request is written, so that the connection may carry another one. */
    val isWritten: Boolean get() = writer?.isDone ?: false

    /** Takes the head of an answer; false when the answer belongs to another request. */
    fun head(response: HttpResponse): Boolean {
        if (isDone) return true
        val head = ResponseHead(response.status().code(), response.headers().map { HeaderField(it.key, it.value) })
        if (!request.isOwnAnswer(head)) return false
        listener.onResponseHead(head)
        return true
    }

    fun body(piece: ByteBuf) {
        if (!isDone && piece.isReadable) listener.onBody(piece)
    }

    fun ended() {
        if (isDone) return
        isDone = true
        listener.onEnd()
    }

    fun failed(failure: ClientFailure) {
        if (isDone) return
        isDone = true
        listener.onFailure(failure)
    }

    override fun cancel() {
        if (isDone) return
        isDone = true
        channel?.connection()?.abandon(this)
        channel?.close()
    }

    override fun setReading(isReading: Boolean) {
        this.isReading = isReading
        if (!isDone) channel?.config()?.isAutoRead = isReading
    }

    /** The connection takes more of the request. */
    fun writable() {
        if (!isDone) writer?.resume()
    }

    private fun head(): HttpRequest {
        val message = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method), request.path)
        request.relayedHeaders?.let { return relayed(message, it) }
        message.headers()[HttpHeaderNames.HOST] = request.address.toString()
        if (request.body.isNotEmpty()) message.headers()[HttpHeaderNames.CONTENT_TYPE] = request.contentType
        HttpUtil.setContentLength(message, request.body.size.toLong())
        request.headers.forEach { (name, value) -> message.headers()[name] = value }
        return message
    }

    private fun relayed(
        message: HttpRequest,
        fields: List<HeaderField>,
    ): HttpRequest {
        fields.forEach { message.headers().add(it.name, it.value) }
        val hasBody = request.body.isNotEmpty() || request.method !in BODILESS_METHODS
        if (hasBody) HttpUtil.setContentLength(message, request.body.size.toLong())
        return message
    }

    private companion object {
        val BODILESS_METHODS = setOf("GET", "HEAD", "DELETE", "OPTIONS")
    }
}
