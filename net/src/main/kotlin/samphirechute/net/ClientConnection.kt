package samphirechute.net

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import samphirechute.core.HostPort
import samphirechute.core.log.KeyValueLog
import java.io.IOException

/**
 * The handler of one connection that [HttpClient] opened. It carries one call at a time and returns to the pool when
 * the response is complete. Bytes that arrive while no call waits close it, since part of a response would join the
 * next one.
 */
internal class ClientConnection(
    private val address: HostPort,
    private val pool: ConnectionPool,
    private val decoder: ClientDecoder,
) : SimpleChannelInboundHandler<HttpObject>() {
    private var call: ActiveCall? = null
    private var isKeepAlive = true

    /** True while an interim response (1xx) is being read; the real one follows. */
    private var isInterim = false
    private var isSkipping = false

    /** The bytes that were skipped since the current call started. */
    private var skippedBytes = 0L
    private var idleLimitMs = Long.MAX_VALUE
    private var embeddedHead = EmbeddedHead { null }
    private val record = ConnectionRecord(address)

    /** Refuses the bytes that arrive while no call waits, before they are decoded. */
    val unaskedBytes = UnaskedBytesHandler(isIdle = { call == null }, onUnasked = record::recordUnasked)

    /** Starts a call and returns how many the connection carried before it. */
    fun startCall(next: ActiveCall): Int {
        call = next
        skippedBytes = 0
        embeddedHead = EmbeddedHead(next.idIn)
        decoder.isHeadCall = next.isHead
        return record.startCall()
    }

    fun use() = record.use()

    override fun channelRead0(
        context: ChannelHandlerContext,
        message: HttpObject,
    ) {
        val current = call
        val defect = defectOf(message)
        if (current == null || defect != null) {
            call = null
            context.close()
            current?.fail(ClientFailure.Malformed(defect.orEmpty()))
            return
        }
        if (message is HttpResponse) isInterim = message.status().codeClass() == HttpStatusClass.INFORMATIONAL
        if (isInterim) {
            // The decoder ends each response with a last piece of content, also an interim one, which has no body.
            if (message is LastHttpContent) isInterim = false
            return
        }
        if (message is HttpResponse) {
            isKeepAlive = HttpUtil.isKeepAlive(message)
            idleLimitMs = idleLimitMs(message)
            isSkipping = !receiveHead(current, message)
        }
        if (isSkipping) return skipContent(context, current, message)
        if (message is LastHttpContent && isCutOff(context)) {
            call = null
            return current.fail(ClientFailure.Closed("the connection was reset before the end of the body"))
        }
        if (message is HttpContent && !receiveBody(context, current, message)) return
        // The listener may have cancelled the call while it received the body.
        if (message is LastHttpContent && call === current) completeCall(context, current)
    }

    /** Returns what is wrong with a part of a response; null if nothing is. */
    private fun defectOf(message: HttpObject): String? =
        when {
            message.decoderResult().isFailure -> {
                message
                    .decoderResult()
                    .cause()
                    ?.message
                    .orEmpty()
            }

            message is HttpResponse && BrokenHead.isFoundIn(message) -> {
                "the head was broken off and continued by another response"
            }

            else -> {
                null
            }
        }

    /**
     * Returns whether the connection ended in another way than by a close of the peer. The decoder takes any end of the
     * connection for the end of a body without a length, also that by a write that failed. A close of the peer is the
     * only one that is read, as the end of the input.
     */
    private fun isCutOff(context: ChannelHandlerContext) =
        !context.channel().isActive &&
            context
                .channel()
                .unsafe()
                .recvBufAllocHandle()
                .lastBytesRead() >= 0

    private fun receiveHead(
        current: ActiveCall,
        message: HttpResponse,
    ): Boolean {
        val isOwn = current.receiveHead(message)
        if (!isOwn) record.startSkipped(message.status().code(), current.idIn(message.toHead()), current.label)
        return isOwn
    }

    /** Passes a part of the body on; returns false if the call failed since the head of another response is in it. */
    private fun receiveBody(
        context: ChannelHandlerContext,
        current: ActiveCall,
        message: HttpContent,
    ): Boolean {
        val isBroken =
            embeddedHead.isCompletedBy(message.content()) ||
                (message is LastHttpContent && embeddedHead.isLeftOpen(decoder.undecoded))
        if (isBroken) {
            call = null
            context.close()
            current.fail(ClientFailure.Malformed("the body contains the head of another response"))
        } else {
            current.receiveBody(message.content())
        }
        return !isBroken
    }

    /** Skips a response to another request, up to a limit for each call, since such a response may never end. */
    private fun skipContent(
        context: ChannelHandlerContext,
        current: ActiveCall,
        message: HttpObject,
    ) {
        if (message is HttpContent) {
            skippedBytes += message.content().readableBytes()
            record.addSkipped(message.content().readableBytes())
        }
        if (message is LastHttpContent) {
            isSkipping = false
            record.endSkipped(isWhole = true)
        }
        if (skippedBytes <= MAX_SKIPPED_BYTES) return
        call = null
        context.close()
        current.fail(ClientFailure.Malformed("more than $MAX_SKIPPED_BYTES bytes of responses to other requests"))
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) call?.resumeWriting()
        context.fireChannelWritabilityChanged()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        pool.remove(address, context.channel())
        record.endSkipped(isWhole = false)
        val current = call
        call = null
        current?.fail(ClientFailure.Closed("peer closed the connection"))
    }

    @Deprecated("Deprecated in the interface of the library")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        val current = call
        call = null
        context.close()
        // An error of a socket is reported to its call; any other one was thrown by code that handled a response.
        if (cause !is IOException) {
            log.warn("response_handler_failed", mapOf("address" to address, "request" to current?.label), cause)
        }
        current?.fail(ClientFailure.Closed(cause.message ?: cause.javaClass.simpleName))
    }

    private fun completeCall(
        context: ChannelHandlerContext,
        current: ActiveCall,
    ) {
        call = null
        record.endCall(current)
        context.channel().config().isAutoRead = true
        // Bytes behind the response may be part of another one, which would join the next.
        val undecoded = decoder.undecoded
        if (undecoded.isReadable) record.recordUnasked(undecoded)
        val isReusable = isKeepAlive && current.allowsReuse && !undecoded.isReadable
        // The connection goes back to the pool before the listener is called, so that its next request can reuse it.
        if (isReusable) pool.release(address, context.channel(), idleLimitMs) else context.close()
        current.complete()
    }

    /**
     * Returns how long the connection may stay idle before it is no longer reused. The peer may state in Keep-Alive
     * after how many seconds it closes an idle connection; the margin allows for the time that a request takes to
     * reach it.
     */
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

    /** Detaches a cancelled call, so that nothing more is reported to its listener. */
    fun detach(cancelled: ActiveCall) {
        if (call === cancelled) call = null
    }

    private companion object {
        /** The size of the largest complete response that is accepted; a late copy of one is no larger. */
        const val MAX_SKIPPED_BYTES = 4L * 1024 * 1024
        val log = KeyValueLog("client")
        const val MS_PER_SECOND = 1_000L
        const val IDLE_MARGIN_MS = 500L
        val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d{1,6})")
    }
}
