package samphirechute.net

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.Subscription

/**
 * One client connection. Collects a request within its bounds, hands it over, and reads the next one only when the
 * answer is complete. Pipelined requests wait in order, and reading pauses while they do.
 */
internal class ServerConnection(
    private val loop: EventLoop,
    private val limits: ServerLimits,
    private val budget: BodyBudget,
    private val isLeaving: () -> Boolean,
    /** True when connections are closed after their answers, also where the client was told before that they stay. */
    private val isClosingIdle: () -> Boolean,
    private val handler: (Exchange) -> Unit,
) : SimpleChannelInboundHandler<HttpObject>(false) {
    private val waiting = ArrayDeque<HttpObject>()
    private var reading: RequestReader? = null
    private var active: ServerExchange? = null
    private var timeout: Subscription? = null
    private var isRefused = false

    /** True while no request is being read or answered. */
    val isIdle: Boolean get() = active == null && reading == null && waiting.isEmpty()

    override fun channelActive(context: ChannelHandlerContext) = armTimeout(context, limits.keepAliveMs)

    override fun channelRead0(
        context: ChannelHandlerContext,
        message: HttpObject,
    ) {
        if (active == null) return take(context, message)
        waiting += message
        context.channel().config().isAutoRead = false
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) active?.writable()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timeout?.cancel()
        waiting.forEach(ReferenceCountUtil::release)
        waiting.clear()
        reading?.discard()
        reading = null
        active?.aborted()
        active = null
    }

    @Deprecated("Deprecated in the interface of the library")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        log.event("connection_failed", mapOf("error" to cause.message))
        context.close()
    }

    private fun take(
        context: ChannelHandlerContext,
        message: HttpObject,
    ) {
        try {
            if (isRefused) return
            if (message.decoderResult().isFailure) return refuseMalformed(context, message.decoderResult().cause())
            if (message is HttpRequest) begin(context, message)
            if (message is HttpContent) reading?.let { append(context, it, message) }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun begin(
        context: ChannelHandlerContext,
        head: HttpRequest,
    ) {
        armTimeout(context, limits.readTimeoutMs)
        val lengthBytes = HttpUtil.getContentLength(head, 0L)
        if (lengthBytes > limits.maxBodyBytes) return refuse(context, ServerError.BodyTooLarge(limits.maxBodyBytes))
        if (!budget.reserve(lengthBytes)) return refuse(context, ServerError.BuffersFull)
        reading = RequestReader(head, lengthBytes, limits.maxBodyBytes, budget)
        if (HttpUtil.is100ContinueExpected(head)) context.writeAndFlush(continueResponse())
    }

    private fun append(
        context: ChannelHandlerContext,
        reader: RequestReader,
        content: HttpContent,
    ) {
        armTimeout(context, limits.readTimeoutMs)
        reader.append(content.content())?.let { return refuse(context, it) }
        if (content !is LastHttpContent) return
        reading = null
        timeout?.cancel()
        dispatch(context, reader)
    }

    @Suppress("TooGenericExceptionCaught")
    private fun dispatch(
        context: ChannelHandlerContext,
        reader: RequestReader,
    ) {
        val exchange = ServerExchange(context, reader, isLeaving) { finished(context) }
        active = exchange
        try {
            handler(exchange)
        } catch (error: Exception) {
            log.warn("handler_failed", mapOf("path" to exchange.request.path), error)
            exchange.fail()
        }
    }

    private fun finished(context: ChannelHandlerContext) {
        active = null
        if (isClosingIdle() && isIdle) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
            return
        }
        armTimeout(context, limits.keepAliveMs)
        loop.post { resume(context) }
    }

    private fun resume(context: ChannelHandlerContext) {
        while (active == null) take(context, waiting.removeFirstOrNull() ?: break)
        if (waiting.isEmpty()) context.channel().config().isAutoRead = true
    }

    private fun refuseMalformed(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        val isTooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        refuse(context, if (isTooLong) ServerError.HeadTooLarge(limits.maxHeadBytes) else ServerError.Malformed)
    }

    private fun refuse(
        context: ChannelHandlerContext,
        error: ServerError,
    ) {
        isRefused = true
        reading?.discard()
        reading = null
        timeout?.cancel()
        val response =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(error.status),
                Unpooled.wrappedBuffer(error.body()),
            )
        response.headers()[HttpHeaderNames.CONTENT_TYPE] = "application/json"
        response.headers()[HttpHeaderNames.CONNECTION] = "close"
        HttpUtil.setContentLength(response, response.content().readableBytes().toLong())
        context.writeAndFlush(response).addListener { linger(context) }
    }

    /**
     * Closes only our side first. A client that is still sending would otherwise have its connection reset, and lose
     * the answer that says why.
     */
    private fun linger(context: ChannelHandlerContext) {
        context.channel().config().isAutoRead = true
        (context.channel() as? DuplexChannel)?.shutdownOutput()
        timeout = loop.timer.after(LINGER_MS) { context.close() }
    }

    private fun armTimeout(
        context: ChannelHandlerContext,
        delayMs: Long,
    ) {
        timeout?.cancel()
        timeout = loop.timer.after(delayMs) { timedOut(context) }
    }

    private fun timedOut(context: ChannelHandlerContext) {
        if (active != null) return
        if (reading == null) context.close() else refuse(context, ServerError.TooSlow(limits.readTimeoutMs))
    }

    private fun continueResponse() =
        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)

    private companion object {
        const val LINGER_MS = 2_000L
        val log = KeyValueLog("server")
    }
}
