package samphirechute.net

import com.github.michaelbull.result.Result
import io.netty.bootstrap.Bootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import jdk.net.ExtendedSocketOptions
import samphirechute.core.HostPort

/**
 * An HTTP/1.1 client that runs on the loop. It reuses keep-alive connections and sends one call at a time on each. A
 * connection that was idle for longer than [maxIdleMs] is not reused.
 */
class HttpClient(
    private val loop: EventLoop,
    private val connectTimeoutMs: Int = 1_000,
    private val maxIdleMs: Long = 10_000,
) {
    private val pool = ConnectionPool(loop.timer, maxIdleMs)

    /** Counts the bytes of all connections that this client opened. */
    val traffic = TrafficCounter()

    /** Starts a call; must be called on the loop. */
    fun send(
        request: ClientRequest,
        listener: ResponseListener,
    ): ClientCall {
        val call = ActiveCall(request, listener)
        val pooled =
            if (request.useFreshConnection) {
                null
            } else {
                pool.acquire(
                    request.address,
                    minOf(maxIdleMs, request.maxIdleMs),
                )
            }
        if (pooled != null) call.start(pooled) else connect(request.address, call)
        return call
    }

    /**
     * Sends a request and passes its complete response, of up to [maxBytes], to [onResult], or a failure after
     * [timeoutMs]. [onSending] is called before the first byte is written.
     */
    fun call(
        request: ClientRequest,
        timeoutMs: Long,
        maxBytes: Int = 16 * 1024 * 1024,
        onSending: () -> Unit = {},
        onResult: (Result<ClientResponse, ClientFailure>) -> Unit,
    ): ClientCall {
        val collector = ResponseCollector(timeoutMs, maxBytes, loop.timer, onSending, onResult)
        return send(request, collector).also(collector::attach)
    }

    /** Closes the idle connections to an address that does not respond. */
    fun closeIdleConnections(address: HostPort) = pool.closeIdleConnections(address)

    private fun connect(
        address: HostPort,
        call: ActiveCall,
    ) {
        val bootstrap =
            Bootstrap()
                .group(loop.group)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_S)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_S)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .option(ChannelOption.RECVBUF_ALLOCATOR, boundedReads())
                .handler(initializer(address))
        bootstrap.connect(address.host, address.port).addListener { future ->
            if (future.isSuccess) {
                call.start(
                    (future as ChannelFuture).channel(),
                )
            } else {
                call.failToConnect(future.cause())
            }
        }
    }

    private fun initializer(address: HostPort) =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val decoder = ClientDecoder(MAX_HEAD_BYTES, CHUNK_BYTES)
                val connection = ClientConnection(address, pool, decoder)
                channel.pipeline().addLast(traffic.handler, connection.unaskedBytes, decoder)
                channel.pipeline().addLast(HttpRequestEncoder(), connection)
            }
        }

    private companion object {
        const val MAX_HEAD_BYTES = 32 * 1024
        const val CHUNK_BYTES = 64 * 1024

        /** With these values, a connection whose peer does not answer TCP keep-alive probes is closed after 3 s. */
        const val KEEP_ALIVE_IDLE_S = 1
        const val KEEP_ALIVE_INTERVAL_S = 1
        const val KEEP_ALIVE_PROBES = 2
    }
}

/**
 * Limits each connection to one small read per turn of the loop, since everything read is processed immediately. With
 * the default of 16 reads of 64 KB, one fast stream blocked the loop for 70 ms, so that other peers appeared silent.
 */
private fun boundedReads() =
    AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1)

private const val MIN_READ_BYTES = 1_024
private const val FIRST_READ_BYTES = 4_096
private const val MAX_READ_BYTES = 16 * 1_024

internal fun Channel.connection(): ClientConnection = pipeline().get(ClientConnection::class.java)
