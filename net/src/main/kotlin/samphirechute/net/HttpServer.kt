package samphirechute.net

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.util.concurrent.GlobalEventExecutor
import samphirechute.core.HostPort
import java.net.InetSocketAddress

/**
 * An HTTP/1.1 server that runs on the loop and passes each complete request to [handler]. Malformed or oversized
 * requests get a [ServerError] and never reach [handler].
 */
class HttpServer(
    private val loop: EventLoop,
    private val limits: ServerLimits = ServerLimits(),
    private val handler: (Exchange) -> Unit,
) : AutoCloseable {
    private val memory = RequestMemory(limits.maxHeadMemoryBytes)
    private val budget = BodyBudget(limits.maxBufferedBytes)
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private var listener: Channel? = null

    /** Counts the bytes of all connections that clients opened. */
    val traffic = TrafficCounter()

    /** Connections and requests accepted since the start. */
    var acceptedConnections = 0L
        private set
    var acceptedRequests = 0L
        private set

    /** While true, each response carries "Connection: close" and is the last one on its connection. */
    var closesAfterResponse = false
    private var isClosingIdle = false

    val openConnections: Int get() = connections.size

    /** Bytes of responses that were written to connections and not yet passed to the operating system. */
    val unsentBytes: Long get() = connections.sumOf { it.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0L }

    /** Memory of the heads of requests, as [RequestMemory] counts it, and requests refused because it was used up. */
    val headMemoryBytes: Long get() = memory.usedBytes
    val memoryRefusals: Long get() = memory.refusals

    /** Bytes of request bodies currently held in memory. */
    val bufferedBytes: Long get() = budget.usedBytes

    /** Listens on [address] and returns the bound address, whose port is a free one when [address] has port 0. */
    fun bind(address: HostPort): HostPort {
        val bootstrap =
            ServerBootstrap()
                .group(loop.group)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, limits.backlog)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WriteBufferWaterMark(LOW_MARK, HIGH_MARK))
                .childHandler(initializer())
        val channel = bootstrap.bind(InetSocketAddress(address.host, address.port)).syncUninterruptibly().channel()
        listener = channel
        return HostPort(address.host, (channel.localAddress() as InetSocketAddress).port)
    }

    /** Stops accepting connections; open ones stay open. */
    fun stopListening() {
        listener?.close()
        listener = null
    }

    /**
     * Closes idle connections now and each other one when its response is complete. Data of earlier responses that is
     * still buffered is written first.
     */
    fun closeIdle() {
        isClosingIdle = true
        connections
            .filter { it.pipeline().get(ServerConnection::class.java)?.isIdle ?: true }
            .forEach { it.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE) }
    }

    override fun close() {
        stopListening()
        connections.close()
    }

    private fun dispatch(exchange: Exchange) {
        acceptedRequests++
        handler(exchange)
    }

    private fun initializer() =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                if (connections.size >= limits.maxConnections) {
                    channel.close()
                    return
                }
                connections += channel
                acceptedConnections++
                val connection =
                    ServerConnection(
                        loop,
                        limits,
                        budget,
                        memory,
                        channel,
                        { closesAfterResponse },
                        { isClosingIdle },
                        ::dispatch,
                    )
                channel.pipeline().addLast(traffic.handler, codec(connection.headMemory), connection)
            }
        }

    private fun codec(headers: HttpHeadersFactory) =
        HttpServerCodec(
            HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxHeadBytes)
                .setMaxHeaderSize(limits.maxHeadBytes)
                .setMaxChunkSize(CHUNK_BYTES)
                .setHeadersFactory(headers)
                .setTrailersFactory(headers),
        )

    private companion object {
        const val CHUNK_BYTES = 64 * 1024
        const val LOW_MARK = 32 * 1024
        const val HIGH_MARK = 128 * 1024
    }
}
