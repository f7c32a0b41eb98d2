package samphirechute.net

import com.github.michaelbull.result.Result
import samphirechute.core.HostPort
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** A server on an ephemeral loopback port and a client for it, on the same event loop. */
internal class LoopbackFixture(
    limits: ServerLimits = ServerLimits(),
    handler: (Exchange) -> Unit,
) : AutoCloseable {
    val loop = EventLoop("test")
    val client = HttpClient(loop)
    val server = HttpServer(loop, limits, handler)
    val address = server.bind(HostPort("127.0.0.1", 0))

    /** Sends a request and waits for its result. */
    fun call(request: ClientRequest) =
        CompletableFuture<Result<ClientResponse, ClientFailure>>()
            .also { future -> loop.post { client.call(request, DEADLINE_MS) { future.complete(it) } } }
            .get(DEADLINE_MS, TimeUnit.MILLISECONDS)

    /** Sends raw bytes and reads until the server closes the connection or the deadline passes. */
    fun sendRaw(bytes: ByteArray): String =
        Socket(address.host, address.port).use { socket ->
            socket.soTimeout = DEADLINE_MS.toInt()
            socket.getOutputStream().apply { write(bytes) }.flush()
            String(socket.getInputStream().readAllBytes())
        }

    override fun close() {
        server.close()
        loop.close()
    }

    companion object {
        const val DEADLINE_MS = 10_000L
    }
}
