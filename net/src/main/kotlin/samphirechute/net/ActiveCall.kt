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

/**
 * The state of one client call, from the moment [HttpClient] looks for a connection until the response is complete, the
 * call fails or it is cancelled. [ClientConnection] reports the parts of the response to it. Confined to the loop.
 */
internal class ActiveCall(
    private val request: ClientRequest,
    private val listener: ResponseListener,
) : ClientCall {
    private var channel: Channel? = null
    private var handler: ClientConnection? = null
    private var callsBefore = 0
    private var writer: BodyWriter? = null
    private var isDone = false
    private var isReading = true

    /** Sends the request on a connected channel. A call that was cancelled in the meantime closes the channel. */
    fun start(connected: Channel) {
        if (isDone) {
            connected.close()
            return
        }
        channel = connected
        handler = connected.connection().also { callsBefore = it.startCall(this) }
        connected.config().isAutoRead = isReading
        listener.onSending()
        connected.write(requestHead())
        val body = BodyWriter(connected, request.body)
        // Set before the first write, which may already trigger resumeWriting().
        writer = body
        body.resume()
    }

    fun failToConnect(cause: Throwable?) =
        fail(ClientFailure.ConnectFailed(cause?.message ?: "no connection to ${request.address}"))

    /**
     * True if another call may follow on the connection. A peer that responds before it has read the whole request
     * still expects the rest of the body.
     */
    val allowsReuse: Boolean get() = !request.closesConnection && writer?.isDone == true

    val isHead: Boolean get() = request.method == "HEAD"

    /** Names the request in log lines; null for a call without a name. */
    val label: String? get() = request.label

    override val connection: ConnectionUse? get() = handler?.use()?.copy(callsBefore = callsBefore)

    /** The status of the response, for log lines; null before its head. */
    var status: Int? = null
        private set

    /** Returns the identifier in a response; see [ClientRequest.idIn]. */
    val idIn: (ResponseHead) -> String? get() = request.idIn

    /** Passes the head of a response to the listener; returns false when the response belongs to another request. */
    fun receiveHead(response: HttpResponse): Boolean {
        if (isDone) return true
        val head = response.toHead()
        if (!request.isExpectedResponse(head)) return false
        status = head.status
        listener.onResponseHead(head)
        return true
    }

    fun receiveBody(piece: ByteBuf) {
        if (!isDone && piece.isReadable) listener.onBody(piece)
    }

    fun complete() {
        if (isDone) return
        isDone = true
        listener.onEnd()
    }

    fun fail(failure: ClientFailure) {
        if (isDone) return
        isDone = true
        listener.onFailure(failure)
    }

    override fun cancel() {
        if (isDone) return
        isDone = true
        channel?.connection()?.detach(this)
        channel?.close()
    }

    override fun setReading(isReading: Boolean) {
        this.isReading = isReading
        if (!isDone) channel?.config()?.isAutoRead = isReading
    }

    /** Writes more of the request; called when the channel becomes writable again. */
    fun resumeWriting() {
        if (!isDone) writer?.resume()
    }

    private fun requestHead(): HttpRequest {
        val message = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method), request.path)
        request.relayedHeaders?.let { return relayedHead(message, it) }
        message.headers()[HttpHeaderNames.HOST] = request.address.toString()
        if (request.body.isNotEmpty()) message.headers()[HttpHeaderNames.CONTENT_TYPE] = request.contentType
        HttpUtil.setContentLength(message, request.body.size.toLong())
        if (request.closesConnection) HttpUtil.setKeepAlive(message, false)
        request.headers.forEach { (name, value) -> message.headers()[name] = value }
        return message
    }

    private fun relayedHead(
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

internal fun HttpResponse.toHead() = ResponseHead(status().code(), headers().map { HeaderField(it.key, it.value) })
