package samphirechute.bench.system

import com.sun.net.httpserver.Headers
import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import samphirechute.platform.PlatformHeaders
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors

/** Where an upstream of the platform stands. */
internal class UpstreamPlace(
    val id: String,
    val service: String,
    val zone: String,
    val ip: String,
)

/** What a bench adds to the answers of an upstream, and sees of its requests. */
internal fun interface UpstreamObserver {
    /** Is called once a request is read, and may add to the head of the answer; what it returns is called after the head. */
    fun onRequest(
        id: String,
        path: String,
        answer: Headers,
    ): () -> Unit
}

/**
 * An upstream of the platform that announces itself to the control instances in turn, counts the executions of each order
 * by its request identifier, and answers streams with numbered events.
 */
internal class PlatformUpstream(
    private val place: UpstreamPlace,
    controls: List<String>,
    announceMs: Long = ANNOUNCE_MS,
    private val observer: UpstreamObserver = UpstreamObserver { _, _, _ -> {} },
    announceCallMs: Long = ANNOUNCE_CALL_MS,
) : AutoCloseable {
    private val workers = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val announcer = Announcer(place, controls, announceMs, callMs = announceCallMs)

    @Volatile private var server = listen(0)

    /** How often each order ran. */
    val executions = ConcurrentHashMap<String, Int>()

    /** Ends this life, which cuts the requests that run, and begins another one at the same address after [downMs]. */
    fun restart(downMs: Long) {
        server.stop(0)
        pause(downMs)
        server = listen(server.address.port)
    }

    override fun close() {
        announcer.close()
        server.stop(0)
        workers.shutdownNow()
    }

    private fun listen(port: Int): HttpServer {
        val server = HttpServer.create(InetSocketAddress(place.ip, port), 0)
        server.executor = workers
        server.createContext("/") { exchange -> exchange.use(::serve) }
        server.start()
        announcer.beginLife(server.address.port)
        return server
    }

    private fun serve(exchange: HttpExchange) {
        exchange.requestBody.readAllBytes()
        val id = exchange.requestHeaders.getFirst(PlatformHeaders.REQUEST_ID).orEmpty()
        exchange.responseHeaders.add(PlatformHeaders.REQUEST_ID, id)
        exchange.responseHeaders.add(PlatformHeaders.SIGNATURE, "signature-$id")
        val isStream = exchange.requestURI.path.startsWith("/stream/")
        val count = if (isStream) 0 else executions.merge(id, 1, Int::plus)
        val onHead = observer.onRequest(id, exchange.requestURI.path, exchange.responseHeaders)
        if (isStream) return stream(exchange, onHead)
        val body = "${place.id} ran $id $count".toByteArray()
        exchange.sendResponseHeaders(OK, body.size.toLong())
        exchange.responseBody.write(body)
        onHead()
    }

    private fun stream(
        exchange: HttpExchange,
        onHead: () -> Unit,
    ) {
        val first = exchange.requestHeaders.getFirst(PlatformHeaders.LAST_EVENT_ID)?.toInt() ?: 0
        exchange.responseHeaders.add("Content-Type", "text/event-stream")
        exchange.sendResponseHeaders(OK, 0)
        onHead()
        for (number in first + 1..EVENTS) {
            exchange.responseBody.write(event(number).toByteArray())
            exchange.responseBody.flush()
            pause(EVENT_MS)
        }
    }

    companion object {
        private const val OK = 200
        private const val ANNOUNCE_MS = 400L
        private const val ANNOUNCE_CALL_MS = 20_000L
        private const val EVENT_MS = 5L
        private const val EVENTS = 60

        private fun event(number: Int) = "id: $number\ndata: event-$number\n\n"

        /** A whole stream as it has to arrive. */
        val WHOLE_STREAM = (1..EVENTS).joinToString("", transform = ::event)
    }
}
