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

    fun head(response: HttpResponse) {
        if (isDone) return
        val headers = response.headers().associate { (name, value) -> name.lowercase() to value }
        listener.onHead(response.status().code(), headers)
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
        message.headers()[HttpHeaderNames.HOST] = request.address.toString()
        if (request.body.isNotEmpty()) message.headers()[HttpHeaderNames.CONTENT_TYPE] = request.contentType
        HttpUtil.setContentLength(message, request.body.size.toLong())
        request.headers.forEach { (name, value) -> message.headers()[name] = value }
        return message
    }
}
