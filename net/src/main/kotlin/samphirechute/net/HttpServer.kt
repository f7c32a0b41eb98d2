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
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.util.concurrent.GlobalEventExecutor
import samphirechute.core.HostPort
import java.net.InetSocketAddress

/** Answers requests on the loop. Malformed or oversized input is answered here and never reaches [handler]. */
class HttpServer(
    private val loop: EventLoop,
    private val limits: ServerLimits = ServerLimits(),
    private val handler: (Exchange) -> Unit,
) : AutoCloseable {
    private val budget = BodyBudget(limits.maxBufferedBytes)
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private var listener: Channel? = null

    /** The bytes of all connections that clients opened. */
    val traffic = TrafficCounter()

    /** Connections and requests taken since the start. */
    var acceptedConnections = 0L
        private set
    var acceptedRequests = 0L
        private set

    /** While true, each answer is the last one on its connection. */
    var isLeaving = false
    private var isClosingIdle = false

    val openConnections: Int get() = connections.size

    /** Bytes of request bodies held in memory. */
    val bufferedBytes: Long get() = budget.usedBytes

    /** Listens on [address] and returns the bound one, whose port differs when port 0 was asked for. */
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

    /** Takes no more connections; those that are open go on. */
    fun stopListening() {
        listener?.close()
        listener = null
    }

    /**
     * Closes the connections on which no request is under way, and each other one once its answer is complete. What is still
     * to be written of earlier answers goes out first.
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

    private fun accept(exchange: Exchange) {
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
                channel.pipeline().addLast(
                    traffic.handler,
                    HttpServerCodec(limits.maxHeadBytes, limits.maxHeadBytes, CHUNK_BYTES),
                    ServerConnection(loop, limits, budget, { isLeaving }, { isClosingIdle }, ::accept),
                )
            }
        }

    private companion object {
        const val CHUNK_BYTES = 64 * 1024
        const val LOW_MARK = 32 * 1024
        const val HIGH_MARK = 128 * 1024
    }
}
