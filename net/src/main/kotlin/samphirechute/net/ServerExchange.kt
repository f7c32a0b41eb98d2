package samphirechute.net

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent

/**
 * The [Exchange] that [ServerConnection] creates for each request. Pieces written in one turn of the loop are flushed
 * together.
 */
internal class ServerExchange(
    private val context: ChannelHandlerContext,
    private val reader: RequestReader,
    private val isLastOnConnection: () -> Boolean,
    /** Called with true if this response is the last one on its connection, which is then to be closed. */
    private val onFinished: (isLast: Boolean) -> Unit,
) : Exchange {
    override val request = reader.toRequest()
    override var onAborted: () -> Unit = {}
    var stream: Stream? = null
        private set
    private val isKeepAlive = HttpUtil.isKeepAlive(reader.head)
    private val isHead = request.method == "HEAD"
    private var writer: BodyWriter? = null

    /** Set once the head is built, so that an error can replace a response whose head the codec refuses. */
    private var isResponseStarted = false
    private var isEnded = false
    private var isClosing = false

    /** True for a response whose end is that of its connection, so that only a reset shows that it is not complete. */
    private var endsWithConnection = false

    override fun respond(
        status: Int,
        contentType: String,
        body: ByteArray,
        headers: Map<String, String>,
    ) {
        if (isResponseStarted || isEnded) return
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        setHeaders(response, contentType, headers)
        HttpUtil.setContentLength(response, body.size.toLong())
        isResponseStarted = true
        context.write(response)
        releaseBody()
        val bodyWriter = BodyWriter(context.channel(), if (isHead) EMPTY else body, ::complete)
        writer = bodyWriter
        bodyWriter.resume()
    }

    override fun startStream(
        status: Int,
        contentType: String,
        headers: Map<String, String>,
    ): ResponseStream {
        val newStream = Stream(isOpen = !isResponseStarted && !isEnded)
        if (isResponseStarted || isEnded) return newStream
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        setHeaders(response, contentType, headers)
        delimitStream(response)
        isResponseStarted = true
        context.write(response)
        stream = newStream
        newStream.flushSoon()
        return newStream
    }

    override fun startRelay(
        status: Int,
        fields: List<HeaderField>,
        lengthBytes: Long?,
    ): ResponseStream {
        val newStream = Stream(isOpen = !isResponseStarted && !isEnded)
        if (isResponseStarted || isEnded) return newStream
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        fields.forEach { response.headers().add(it.name, it.value) }
        if (closesConnection()) response.headers()[HttpHeaderNames.CONNECTION] = "close"
        if (lengthBytes != null) HttpUtil.setContentLength(response, lengthBytes) else delimitStream(response)
        isResponseStarted = true
        context.write(response)
        stream = newStream
        newStream.flushSoon()
        return newStream
    }

    /** Marks the response as chunked. Clients that do not know chunks read it until the connection ends. */
    private fun delimitStream(response: HttpResponse) {
        endsWithConnection = reader.head.protocolVersion() != HttpVersion.HTTP_1_1
        if (!endsWithConnection) HttpUtil.setTransferEncodingChunked(response, true)
    }

    override fun releaseBody() = reader.discard()

    /** Writes more of the response; called when the channel becomes writable again. */
    fun resumeWriting() {
        writer?.resume()
        stream?.onWritable?.invoke()
    }

    /** Ends the exchange because the client has disconnected. */
    fun handleDisconnect() {
        if (isEnded) return
        isEnded = true
        releaseBody()
        onAborted()
    }

    /** Ends the exchange after the handler threw: responds with an error, or aborts a stream that has started. */
    fun fail() {
        val error = ServerError.Internal
        if (isResponseStarted) stream?.abort() else respond(error.status, "application/json", error.body())
    }

    private fun setHeaders(
        response: HttpResponse,
        contentType: String,
        headers: Map<String, String>,
    ) {
        response.headers()[HttpHeaderNames.CONTENT_TYPE] = contentType
        headers.forEach { (name, value) -> response.headers()[name] = value }
        if (!closesConnection()) return
        response.headers()[HttpHeaderNames.CONNECTION] = "close"
    }

    /** Whether the connection closes after this response. Once true it stays true, since the head announced it. */
    private fun closesConnection(): Boolean {
        if (!isKeepAlive || reader.head.protocolVersion() != HttpVersion.HTTP_1_1 || isLastOnConnection()) {
            isClosing = true
        }
        return isClosing
    }

    private fun complete() {
        isEnded = true
        releaseBody()
        onFinished(isClosing)
    }

    private companion object {
        val EMPTY = ByteArray(0)
    }

    inner class Stream(
        private var isOpen: Boolean,
    ) : ResponseStream {
        private var isFlushPending = false
        override var onWritable: () -> Unit = {}
        override val isWritable: Boolean get() = context.channel().isWritable

        override fun write(bytes: ByteArray) {
            if (!isOpen || isEnded) return
            context.write(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
            flushSoon()
        }

        override fun finish() {
            if (!isOpen || isEnded) return
            isOpen = false
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
            complete()
        }

        override fun abort() {
            if (!isOpen || isEnded) return
            isOpen = false
            isEnded = true
            releaseBody()
            if (endsWithConnection) context.channel().config().setOption(ChannelOption.SO_LINGER, 0)
            context.close()
        }

        fun flushSoon() {
            if (isFlushPending) return
            isFlushPending = true
            context.executor().execute {
                isFlushPending = false
                context.flush()
            }
        }
    }
}
