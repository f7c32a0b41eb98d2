package samphirechute.net

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise

/** Counts the bytes that a [HttpClient] or [HttpServer] reads and writes, with HTTP heads. Confined to the loop. */
class TrafficCounter {
    var readBytes = 0L
        private set
    var writtenBytes = 0L
        private set

    internal val handler: ChannelHandler = Handler()

    @ChannelHandler.Sharable
    private inner class Handler : ChannelDuplexHandler() {
        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            if (message is ByteBuf) readBytes += message.readableBytes()
            context.fireChannelRead(message)
        }

        override fun write(
            context: ChannelHandlerContext,
            message: Any,
            promise: ChannelPromise,
        ) {
            if (message is ByteBuf) writtenBytes += message.readableBytes()
            context.write(message, promise)
        }
    }
}
