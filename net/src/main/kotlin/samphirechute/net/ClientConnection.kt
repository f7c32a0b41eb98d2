package samphirechute.net

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import samphirechute.core.HostPort

/** One connection to a peer. It serves one call at a time and returns to the pool when its answer is complete. */
internal class ClientConnection(
    private val address: HostPort,
    private val pool: ConnectionPool,
) : SimpleChannelInboundHandler<HttpObject>() {
    private var call: ActiveCall? = null
    private var isKeepAlive = true
    private var isForeign = false
    private var foreignBytes = 0L
    private var idleLimitMs = Long.MAX_VALUE

    fun serve(next: ActiveCall) {
        call = next
    }

    override fun channelRead0(
        context: ChannelHandlerContext,
        message: HttpObject,
    ) {
        val current = call
        if (current == null || message.decoderResult().isFailure) {
            call = null
            context.close()
            current?.failed(
                ClientFailure.Malformed(
                    message
                        .decoderResult()
                        .cause()
                        ?.message
                        .orEmpty(),
                ),
            )
            return
        }
        if (message is HttpResponse) {
            if (message.status().code() == CONTINUE_STATUS) return
            isKeepAlive = HttpUtil.isKeepAlive(message)
            idleLimitMs = idleLimitMs(message)
            isForeign = !current.head(message)
        }
        if (isForeign) return skip(context, current, message)
        if (message is HttpContent) current.body(message.content())
        if (message is LastHttpContent && call === current) ended(context, current)
    }

    /** Skips an answer to another request, which may have no end. */
    private fun skip(
        context: ChannelHandlerContext,
        current: ActiveCall,
        message: HttpObject,
    ) {
        if (message is HttpContent) foreignBytes += message.content().readableBytes()
        if (message is LastHttpContent) isForeign = false
        if (foreignBytes <= MAX_FOREIGN_BYTES) return
        call = null
        context.close()
        current.failed(ClientFailure.Malformed("more than $MAX_FOREIGN_BYTES bytes that belong to no answer"))
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) call?.writable()
        context.fireChannelWritabilityChanged()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        pool.remove(address, context.channel())
        val current = call
        call = null
        current?.failed(ClientFailure.Closed("peer closed the connection"))
    }

    @Deprecated("Deprecated in the interface of the library")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        val current = call
        call = null
        context.close()
        current?.failed(ClientFailure.Closed(cause.message ?: cause.javaClass.simpleName))
    }

    private fun ended(
        context: ChannelHandlerContext,
        current: ActiveCall,
    ) {
        call = null
        context.channel().config().isAutoRead = true
        // A peer that answers early still expects the rest of the body, so the connection cannot be used again.
        val isReusable = isKeepAlive && current.isWritten
        if (isReusable) pool.put(address, context.channel(), idleLimitMs) else context.close()
        current.ended()
    }

    /** The peer may name the seconds after which it closes an idle connection; the margin covers the way there. */
    private fun idleLimitMs(response: HttpResponse): Long {
        val parameters = response.headers()["Keep-Alive"] ?: return Long.MAX_VALUE
        val seconds =
            KEEP_ALIVE_TIMEOUT
                .find(parameters)
                ?.groupValues
                ?.get(1)
                ?.toLongOrNull() ?: return Long.MAX_VALUE
        return (seconds * MS_PER_SECOND - IDLE_MARGIN_MS).coerceAtLeast(0)
    }

    /** Drops the call without telling its listener. */
    fun abandon(context: ActiveCall) {
        if (call === context) call = null
    }

    private companion object {
        const val CONTINUE_STATUS = 100

        /** As large as the largest whole answer that is accepted; a late copy of one is no larger. */
        const val MAX_FOREIGN_BYTES = 4L * 1024 * 1024
        const val MS_PER_SECOND = 1_000L
        const val IDLE_MARGIN_MS = 500L
        val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d{1,6})")
    }
}
