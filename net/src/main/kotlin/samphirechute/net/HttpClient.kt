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
import io.netty.handler.codec.http.HttpClientCodec
import jdk.net.ExtendedSocketOptions
import samphirechute.core.HostPort

/**
 * Sends requests on the loop, over kept-alive connections, one call at a time on each. A connection that was idle
 * for longer than [maxIdleMs] is not used again.
 */
class HttpClient(
    private val loop: EventLoop,
    private val connectTimeoutMs: Int = 1_000,
    private val maxIdleMs: Long = 10_000,
) {
    private val pool = ConnectionPool(loop.timer, maxIdleMs)

    /** The bytes of all connections that this client opened. */
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
                pool.take(
                    request.address,
                    minOf(maxIdleMs, request.maxIdleMs),
                )
            }
        if (pooled != null) call.start(pooled) else connect(request.address, call)
        return call
    }

    /**
     * Sends a request and collects its answer, up to [maxBytes], within [timeoutMs]. [onSending] is called before the
     * first byte is written.
     */
    fun call(
        request: ClientRequest,
        timeoutMs: Long,
        maxBytes: Int = 16 * 1024 * 1024,
        onSending: () -> Unit = {},
        onResult: (Result<ClientResponse, ClientFailure>) -> Unit,
    ): ClientCall {
        val collector = ResponseCollector(timeoutMs, maxBytes, loop.timer, onSending, onResult)
        return send(request, collector).also(collector::follow)
    }

    /** Closes the idle connections to an address that was found silent. */
    fun retire(address: HostPort) = pool.retire(address)

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
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_AFTER_S)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_EVERY_S)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBE_COUNT)
                .option(ChannelOption.RECVBUF_ALLOCATOR, fairReads())
                .handler(initializer(address))
        bootstrap.connect(address.host, address.port).addListener { future ->
            if (future.isSuccess) {
                call.start(
                    (future as ChannelFuture).channel(),
                )
            } else {
                call.connectFailed(future.cause())
            }
        }
    }

    private fun initializer(address: HostPort) =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val codec = HttpClientCodec(MAX_HEAD_BYTES, MAX_HEAD_BYTES, CHUNK_BYTES)
                channel.pipeline().addLast(traffic.handler, codec, ClientConnection(address, pool))
            }
        }

    private companion object {
        const val MAX_HEAD_BYTES = 32 * 1024
        const val CHUNK_BYTES = 64 * 1024

        /** A connection on which nothing comes back, not even an answer to probes, is closed after 3 s. */
        const val PROBE_AFTER_S = 1
        const val PROBE_EVERY_S = 1
        const val PROBE_COUNT = 2
    }
}

/**
 * One connection is read in small portions, since what it brings is handled at once. The default of 16 reads of 64 KB
 * let one fast stream hold the loop for 70 ms, so that others appeared silent.
 */
private fun fairReads() =
    AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1)

private const val MIN_READ_BYTES = 1_024
private const val FIRST_READ_BYTES = 4_096
private const val MAX_READ_BYTES = 16 * 1_024

internal fun Channel.connection(): ClientConnection = pipeline().get(ClientConnection::class.java)
