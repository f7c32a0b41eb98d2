package samphirechute.net

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DuplexChannel
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.Subscription

/**
 * The handler of one connection to [HttpServer]. It collects a request within [limits], passes it to [handler] and
 * processes the next one only when the response is complete. Pipelined requests are queued in order, and reading from
 * the socket pauses meanwhile.
 */
internal class ServerConnection(
    private val loop: EventLoop,
    private val limits: ServerLimits,
    private val budget: BodyBudget,
    memory: RequestMemory,
    channel: SocketChannel,
    private val isLastOnConnection: () -> Boolean,
    /** Whether to close after the current response, even if its head did not announce "Connection: close". */
    private val isClosingIdle: () -> Boolean,
    private val handler: (Exchange) -> Unit,
) : SimpleChannelInboundHandler<HttpObject>(false) {
    private val queued = ArrayDeque<HttpObject>()
    private var currentReader: RequestReader? = null
    private var activeExchange: ServerExchange? = null
    private var timeout: Subscription? = null
    private var isRefused = false
    private val held =
        memory.Holder(channel.remoteAddress()?.address) {
            channel.pipeline().context(this)?.let { refuse(it, ServerError.MemoryFull) }
        }

    /** Counts the heads of this connection as they are decoded. */
    val headMemory = HeadMemory(held)

    /** True while no request is being read or answered, and the connection is not about to be closed anyway. */
    val isIdle: Boolean get() = !isRefused && activeExchange == null && currentReader == null && queued.isEmpty()

    override fun channelActive(context: ChannelHandlerContext) = armTimeout(context, limits.keepAliveMs)

    override fun channelRead0(
        context: ChannelHandlerContext,
        message: HttpObject,
    ) {
        if (activeExchange == null) return process(context, message)
        queued += message
        context.channel().config().isAutoRead = false
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) activeExchange?.resumeWriting()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timeout?.cancel()
        held.close()
        dropQueued()
        currentReader?.discard()
        currentReader = null
        activeExchange?.handleDisconnect()
        activeExchange = null
    }

    @Deprecated("Deprecated in the interface of the library")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        log.event("connection_failed", mapOf("error" to cause.message))
        context.close()
    }

    private fun process(
        context: ChannelHandlerContext,
        message: HttpObject,
    ) {
        try {
            if (isRefused) return
            if (message.decoderResult().isFailure) return refuseMalformed(context, message.decoderResult().cause())
            if (message is HttpRequest) beginRequest(context, message)
            if (message is HttpContent) currentReader?.let { appendBody(context, it, message) }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun beginRequest(
        context: ChannelHandlerContext,
        head: HttpRequest,
    ) {
        armTimeout(context, limits.readTimeoutMs)
        val lengthBytes = HttpUtil.getContentLength(head, 0L)
        if (lengthBytes > limits.maxBodyBytes) return refuse(context, ServerError.BodyTooLarge(limits.maxBodyBytes))
        if (!budget.reserve(lengthBytes)) return refuse(context, ServerError.BuffersFull)
        currentReader = RequestReader(head, lengthBytes, limits.maxBodyBytes, budget)
        if (HttpUtil.is100ContinueExpected(head)) context.writeAndFlush(continueResponse())
    }

    private fun appendBody(
        context: ChannelHandlerContext,
        reader: RequestReader,
        content: HttpContent,
    ) {
        armTimeout(context, limits.readTimeoutMs)
        reader.append(content.content())?.let { return refuse(context, it) }
        if (content !is LastHttpContent) return
        headMemory.release(content.trailingHeaders())
        currentReader = null
        timeout?.cancel()
        dispatch(context, reader)
    }

    @Suppress("TooGenericExceptionCaught")
    private fun dispatch(
        context: ChannelHandlerContext,
        reader: RequestReader,
    ) {
        val exchange =
            ServerExchange(
                context,
                reader,
                isLastOnConnection,
            ) { isLast -> completeExchange(context, reader.head, isLast) }
        activeExchange = exchange
        held.isEvictable = false
        try {
            handler(exchange)
        } catch (error: Exception) {
            log.warn("handler_failed", mapOf("path" to exchange.request.path), error)
            exchange.fail()
        }
    }

    private fun completeExchange(
        context: ChannelHandlerContext,
        head: HttpRequest,
        isLast: Boolean,
    ) {
        activeExchange = null
        held.isEvictable = true
        headMemory.release(head.headers())
        if (isLast || (isClosingIdle() && isIdle)) return closeAfterResponse(context, head)
        armTimeout(context, limits.keepAliveMs)
        // Posted rather than called, so that the responses to many queued requests do not nest.
        loop.post { processQueued(context) }
    }

    /**
     * Closes the connection once the response is written, and processes no request that came behind it. A client that keeps
     * its connections may have sent one already: as unread bytes it would turn the close into a reset, with which the client
     * could lose the response. So only the sending side is closed first, and the connection after a delay.
     */
    private fun closeAfterResponse(
        context: ChannelHandlerContext,
        head: HttpRequest,
    ) {
        isRefused = true
        context.channel().config().isAutoRead = false
        val maySendMore = HttpUtil.isKeepAlive(head)
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener {
            if (!maySendMore) {
                context.close()
            } else {
                (context.channel() as? DuplexChannel)?.shutdownOutput()
                timeout = loop.timer.after(CLOSE_DELAY_MS) { context.close() }
            }
        }
    }

    private fun processQueued(context: ChannelHandlerContext) {
        while (activeExchange == null) process(context, queued.removeFirstOrNull() ?: break)
        if (queued.isEmpty()) context.channel().config().isAutoRead = true
    }

    private fun refuseMalformed(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        if (cause is HeadMemoryException) return refuse(context, ServerError.MemoryFull)
        val isTooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        refuse(context, if (isTooLong) ServerError.HeadTooLarge(limits.maxHeadBytes) else ServerError.Malformed)
    }

    private fun refuse(
        context: ChannelHandlerContext,
        error: ServerError,
    ) {
        if (isRefused) return
        isRefused = true
        currentReader?.discard()
        currentReader = null
        timeout?.cancel()
        held.close()
        dropQueued()
        val response =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(error.status),
                Unpooled.wrappedBuffer(error.body()),
            )
        response.headers()[HttpHeaderNames.CONTENT_TYPE] = "application/json"
        response.headers()[HttpHeaderNames.CONNECTION] = "close"
        HttpUtil.setContentLength(response, response.content().readableBytes().toLong())
        context.writeAndFlush(response).addListener { lingerBeforeClose(context) }
        // The decoder goes with the head that it has read in part; what the client still sends is dropped unread.
        context.pipeline().replace(HttpServerCodec::class.java, null, InputSink())
    }

    private fun dropQueued() {
        queued.forEach(ReferenceCountUtil::release)
        queued.clear()
    }

    private class InputSink : ChannelInboundHandlerAdapter() {
        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            ReferenceCountUtil.release(message)
        }
    }

    /**
     * Closes only the sending side first and the connection after a delay. If it were closed while the client is still
     * sending, the connection would be reset and the client could lose the error response.
     */
    private fun lingerBeforeClose(context: ChannelHandlerContext) {
        context.channel().config().isAutoRead = true
        (context.channel() as? DuplexChannel)?.shutdownOutput()
        timeout = loop.timer.after(LINGER_MS) { context.close() }
    }

    private fun armTimeout(
        context: ChannelHandlerContext,
        delayMs: Long,
    ) {
        timeout?.cancel()
        timeout = loop.timer.after(delayMs) { handleTimeout(context) }
    }

    private fun handleTimeout(context: ChannelHandlerContext) {
        if (activeExchange != null) return
        if (currentReader == null) context.close() else refuse(context, ServerError.TooSlow(limits.readTimeoutMs))
    }

    private fun continueResponse() =
        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)

    private companion object {
        const val LINGER_MS = 2_000L

        /** The time for a client to receive the rest of a response from the operating system. */
        const val CLOSE_DELAY_MS = 1_000L
        val log = KeyValueLog("server")
    }
}
