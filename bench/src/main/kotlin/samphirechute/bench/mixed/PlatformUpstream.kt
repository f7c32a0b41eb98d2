package samphirechute.bench.mixed

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import samphirechute.platform.ControlApi
import samphirechute.platform.PlatformHeaders
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Where an upstream of the platform stands. */
internal class UpstreamPlace(
    val id: String,
    val service: String,
    val zone: String,
    val ip: String,
)

/**
 * An upstream of the platform that announces itself to the control instances in turn, counts the executions of each order
 * by its request identifier, and answers streams with numbered events.
 */
internal class PlatformUpstream(
    private val place: UpstreamPlace,
    private val controls: List<String>,
) : AutoCloseable {
    private val server = HttpServer.create(InetSocketAddress(place.ip, 0), 0)
    private val workers = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val announcing = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
    private val bornMs = System.currentTimeMillis()
    private var sequence = 0

    /** How often each order ran. */
    val executions = ConcurrentHashMap<String, Int>()

    init {
        server.executor = workers
        server.createContext("/") { exchange -> exchange.use(::serve) }
        server.start()
        announcing.scheduleWithFixedDelay(::announce, 0, ANNOUNCE_MS, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        announcing.shutdownNow()
        server.stop(0)
        workers.shutdownNow()
    }

    /** A control instance that is down or refuses is passed over until the next turn. */
    private fun announce() {
        sequence++
        val record =
            """{"service":"${place.service}","address":"${place.ip}:${server.address.port}","zone":"${place.zone}",""" +
                """"version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"sequence":$sequence,"born":$bornMs}"""
        controls.indices.any { turn ->
            val control = controls[(sequence + turn) % controls.size]
            runCatching { Http.call(control, "PUT", ControlApi.INSTANCES + place.id, record).status }
                .getOrNull() == OK
        }
    }

    private fun serve(exchange: HttpExchange) {
        exchange.requestBody.readAllBytes()
        val id = exchange.requestHeaders.getFirst(PlatformHeaders.REQUEST_ID).orEmpty()
        exchange.responseHeaders.add(PlatformHeaders.REQUEST_ID, id)
        exchange.responseHeaders.add(PlatformHeaders.SIGNATURE, "signature-$id")
        if (exchange.requestURI.path.startsWith("/stream/")) return stream(exchange)
        val count = executions.merge(id, 1, Int::plus)
        val body = "${place.id} ran $id $count".toByteArray()
        exchange.sendResponseHeaders(OK, body.size.toLong())
        exchange.responseBody.write(body)
    }

    private fun stream(exchange: HttpExchange) {
        val first = exchange.requestHeaders.getFirst(PlatformHeaders.LAST_EVENT_ID)?.toInt() ?: 0
        exchange.responseHeaders.add("Content-Type", "text/event-stream")
        exchange.sendResponseHeaders(OK, 0)
        for (number in first + 1..EVENTS) {
            exchange.responseBody.write(event(number).toByteArray())
            exchange.responseBody.flush()
            pause(EVENT_MS)
        }
    }

    companion object {
        private const val OK = 200
        private const val ANNOUNCE_MS = 400L
        private const val EVENT_MS = 5L
        private const val EVENTS = 60

        private fun event(number: Int) = "id: $number\ndata: event-$number\n\n"

        /** A whole stream as it has to arrive. */
        val WHOLE_STREAM = (1..EVENTS).joinToString("", transform = ::event)
    }
}
