package samphirechute.net

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent

/** The exchange of one request on its connection. Pieces written in one turn of the loop are flushed together. */
internal class ServerExchange(
    private val context: ChannelHandlerContext,
    private val reader: RequestReader,
    private val isLastOnConnection: () -> Boolean,
    private val onFinished: () -> Unit,
) : Exchange {
    override val request = reader.toRequest()
    override var onAborted: () -> Unit = {}
    var stream: Stream? = null
        private set
    private val isKeepAlive = HttpUtil.isKeepAlive(reader.head)
    private val isHead = request.method == "HEAD"
    private var writer: BodyWriter? = null
    private var isAnswered = false
    private var isEnded = false
    private var isClosing = false

    override fun respond(
        status: Int,
        contentType: String,
        body: ByteArray,
        headers: Map<String, String>,
    ) {
        if (isAnswered || isEnded) return
        isAnswered = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        setHeaders(response, contentType, headers)
        HttpUtil.setContentLength(response, body.size.toLong())
        context.write(response)
        releaseBody()
        val answer = BodyWriter(context.channel(), if (isHead) EMPTY else body, ::ended)
        writer = answer
        answer.resume()
    }

    override fun startStream(
        status: Int,
        contentType: String,
        headers: Map<String, String>,
    ): ResponseStream {
        val started = Stream(isOpen = !isAnswered && !isEnded)
        if (isAnswered || isEnded) return started
        isAnswered = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        setHeaders(response, contentType, headers)
        if (reader.head.protocolVersion() == HttpVersion.HTTP_1_1) HttpUtil.setTransferEncodingChunked(response, true)
        context.write(response)
        stream = started
        started.flushSoon()
        return started
    }

    override fun startRelay(
        status: Int,
        fields: List<HeaderField>,
        lengthBytes: Long?,
    ): ResponseStream {
        val started = Stream(isOpen = !isAnswered && !isEnded)
        if (isAnswered || isEnded) return started
        isAnswered = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        fields.forEach { response.headers().add(it.name, it.value) }
        if (closesAfter()) response.headers()[HttpHeaderNames.CONNECTION] = "close"
        if (lengthBytes != null) {
            HttpUtil.setContentLength(response, lengthBytes)
        } else if (reader.head.protocolVersion() == HttpVersion.HTTP_1_1) {
            HttpUtil.setTransferEncodingChunked(response, true)
        }
        context.write(response)
        stream = started
        started.flushSoon()
        return started
    }

    override fun releaseBody() = reader.discard()

    /** The connection takes more of the answer. */
    fun writable() {
        writer?.resume()
        stream?.onWritable?.invoke()
    }

    /** The client has gone. */
    fun aborted() {
        if (isEnded) return
        isEnded = true
        releaseBody()
        onAborted()
    }

    /** The handler threw: an answer that has not begun says so, and one that has begun is cut. */
    fun fail() {
        val error = ServerError.Internal
        if (isAnswered) stream?.abort() else respond(error.status, "application/json", error.body())
    }

    private fun setHeaders(
        response: HttpResponse,
        contentType: String,
        headers: Map<String, String>,
    ) {
        response.headers()[HttpHeaderNames.CONTENT_TYPE] = contentType
        headers.forEach { (name, value) -> response.headers()[name] = value }
        if (!closesAfter()) return
        response.headers()[HttpHeaderNames.CONNECTION] = "close"
    }

    /** Decided with the head and kept, since the client was told. */
    private fun closesAfter(): Boolean {
        if (!isKeepAlive || reader.head.protocolVersion() != HttpVersion.HTTP_1_1 || isLastOnConnection()) {
            isClosing = true
        }
        return isClosing
    }

    private fun ended() {
        isEnded = true
        releaseBody()
        if (isClosing) context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        onFinished()
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
            ended()
        }

        override fun abort() {
            if (!isOpen || isEnded) return
            isOpen = false
            isEnded = true
            releaseBody()
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
