package samphirechute.bench.stops

import samphirechute.bench.system.PlatformProcesses
import samphirechute.bench.system.RunClock
import samphirechute.bench.system.pause
import samphirechute.platform.PlatformHeaders
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Callers that use their connections until they close, one request at a time, and then connect to a ready instance. */
internal class KeptConnections(
    private val system: PlatformProcesses,
    private val balancer: Balancer,
    private val clock: RunClock,
    private val seed: Long,
) {
    private val workers = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val lastRequest = AtomicInteger()
    val calls = ConcurrentLinkedQueue<Call>()

    /** Bytes that came while no request waited for an answer. */
    val strays = ConcurrentLinkedQueue<String>()

    /** Sends until [untilMs] and waits for the last answers. */
    fun run(untilMs: Long) {
        repeat(CONNECTIONS) { slot ->
            workers.execute {
                val random = Random(seed * SPREAD + slot)
                var entry = slot % system.entries.size
                while (clock.nowMs() < untilMs) {
                    use(entry, slot, random, untilMs)
                    entry = balancer.choose(random)
                }
            }
        }
        workers.shutdown()
        workers.awaitTermination(untilMs - clock.nowMs() + LAST_ANSWERS_MS, TimeUnit.MILLISECONDS)
    }

    private fun use(
        entry: Int,
        slot: Int,
        random: Random,
        untilMs: Long,
    ) {
        Socket().use { socket ->
            val isSlow = slot % SLOW_OF == 0
            if (isSlow) socket.receiveBufferSize = SLOW_BUFFER_BYTES
            val address = system.requestAddress(entry)
            if (!connect(socket, address)) return pause(RECONNECT_MS)
            val reader = if (isSlow) WireReader(socket, SLOW_PAUSE_MS, SLOW_STEP_BYTES) else WireReader(socket)
            val connection = Connection(socket, reader, "entry-$entry", address)
            while (clock.nowMs() < untilMs && connection.isKept(random.nextLong(MAX_THINK_MS))) connection.send(random)
        }
    }

    /** A refused connection is another answer of the network to a caller that looks for an instance. */
    private fun connect(
        socket: Socket,
        address: InetSocketAddress,
    ) = try {
        socket.connect(address, CONNECT_MS)
        socket.tcpNoDelay = true
        true
    } catch (_: IOException) {
        false
    }

    private inner class Connection(
        private val socket: Socket,
        private val reader: WireReader,
        private val entry: String,
        private val address: InetSocketAddress,
    ) {
        private var sent = 0
        private var isReusable = true

        /** Waits before the next request, and says whether the connection can take it. */
        fun isKept(thinkMs: Long): Boolean {
            if (!isReusable) return false
            val idle = reader.idle(thinkMs + 1)
            if (idle ==
                Idle.BYTES
            ) {
                strays += "at_ms=${clock.nowMs()} entry=$entry after=${sent}_requests head=${strayHead()}"
            }
            return idle == Idle.SILENT
        }

        private fun strayHead() = runCatching { reader.head()?.start }.getOrElse { "$it" }

        fun send(random: Random) {
            val path = path(random)
            val route = Work.of(path).route
            val body = if (route == RouteOfStops.LOOK) "" else "q".repeat(random.nextInt(1, MAX_BODY_BYTES))
            val deadlineMs = deadlineMs(random, Work.of(path))
            val id = "c${lastRequest.incrementAndGet()}"
            val method = if (body.isEmpty()) "GET" else "POST"
            val isChunked = random.nextInt(CHUNKED_OF) == 0
            val head =
                "$method $path HTTP/1.1\r\nHost: ${address.hostString}\r\n${PlatformHeaders.REQUEST_ID}: $id\r\n" +
                    "${PlatformHeaders.CREDENTIAL}: ${PlatformProcesses.KEY}\r\n" +
                    "${PlatformHeaders.DEADLINE_MS}: $deadlineMs\r\n" +
                    framing(body, isChunked)
            val sentMs = clock.nowMs()
            val isHalved = route != RouteOfStops.STREAM && random.nextInt(HALVED_OF) == 0
            val lastByteMs =
                write(
                    head,
                    if (isChunked) chunked(body) else body,
                    if (isHalved) random.nextLong(MAX_HALF_PAUSE_MS) else 0,
                )
            reader.limit((lastByteMs ?: clock.nowMs()) + deadlineMs + HELD_MS - clock.nowMs())
            calls +=
                receive(Call(id, path, entry, sentMs, lastByteMs, deadlineMs, null, 0, CallEnd.WHOLE, before = sent++))
        }

        private fun framing(
            body: String,
            isChunked: Boolean,
        ) = when {
            body.isEmpty() -> "\r\n"
            isChunked -> "Transfer-Encoding: chunked\r\n\r\n"
            else -> "Content-Length: ${body.length}\r\n\r\n"
        }

        private fun chunked(body: String) =
            if (body.isEmpty()) {
                ""
            } else {
                body.chunked(CHUNK_BYTES).joinToString("") { "${it.length.toString(HEX)}\r\n$it\r\n" } + "0\r\n\r\n"
            }

        /** Returns when the last byte was sent, or null if the connection closed before. */
        private fun write(
            head: String,
            body: String,
            pauseMs: Long,
        ): Long? =
            try {
                val output = socket.getOutputStream()
                val half = if (pauseMs > 0) body.length / 2 else body.length
                output.write((head + body.take(half)).toByteArray())
                if (pauseMs > 0) {
                    pause(pauseMs)
                    output.write(body.drop(half).toByteArray())
                }
                clock.nowMs()
            } catch (_: IOException) {
                null
            }

        private fun receive(call: Call): Call {
            var answered = call
            val body = ByteArrayOutputStream()
            val end =
                try {
                    val head = finalHead()
                    if (head != null) {
                        answered =
                            call.copy(
                                headMs = clock.nowMs(),
                                status = head.status,
                                answered = head[PlatformHeaders.REQUEST_ID],
                                signature = head[PlatformHeaders.SIGNATURE],
                            )
                        isReusable = !head.says("Connection", "close") && (head.isChunked || head.lengthBytes != null)
                        reader.body(head, true, body)
                    }
                    if (head == null) CallEnd.CLOSED else CallEnd.WHOLE
                } catch (_: SocketTimeoutException) {
                    CallEnd.HELD
                } catch (e: NoMessage) {
                    body.write("$e".toByteArray())
                    CallEnd.NO_MESSAGE
                } catch (_: IOException) {
                    CallEnd.CLOSED
                }
            if (end != CallEnd.WHOLE) isReusable = false
            val isUnsent = end == CallEnd.CLOSED && call.lastByteMs == null
            return answered.copy(endMs = clock.nowMs(), end = if (isUnsent) CallEnd.UNSENT else end, body = "$body")
        }

        private fun finalHead(): Head? {
            while (true) {
                val head = reader.head() ?: return null
                if (head.status >= OK) return head
            }
        }
    }

    private fun path(random: Random): String {
        val route = ROUTES.random(random)
        val lengthMs =
            when {
                route == RouteOfStops.STREAM && random.nextBoolean() -> random.nextLong(LONG_MS.first, LONG_MS.last)
                route == RouteOfStops.STREAM -> random.nextLong(MEDIUM_MS.first, MEDIUM_MS.last)
                random.nextInt(LASTING_OF) == 0 -> random.nextLong(MEDIUM_MS.first, MEDIUM_MS.last)
                else -> random.nextLong(SHORT_MS)
            }
        return "/${route.path}/$lengthMs/${random.nextInt(VARIANTS)}"
    }

    /** Most requests have time for their work, some do not. */
    private fun deadlineMs(
        random: Random,
        work: Work,
    ): Long {
        val leastMs = if (random.nextInt(TIGHT_OF) == 0) MIN_DEADLINE_MS else work.lengthMs + SPARE_MS
        return random.nextLong(leastMs.coerceAtMost(MAX_DEADLINE_MS - 1), MAX_DEADLINE_MS)
    }

    companion object {
        const val CONNECTIONS = 120
        private val ROUTES =
            List(4) { RouteOfStops.STREAM } + List(2) { RouteOfStops.CHECK } + List(3) { RouteOfStops.ORDER } +
                RouteOfStops.LOOK
        private const val SPREAD = 7_919
        private const val OK = 200
        private const val VARIANTS = 1_000
        private val LONG_MS = 2_000L..9_000L
        private val MEDIUM_MS = 300L..2_500L
        private const val SHORT_MS = 200L
        private const val LASTING_OF = 4
        private const val TIGHT_OF = 5
        private const val MIN_DEADLINE_MS = 1_000L
        private const val SPARE_MS = 1_500L
        private const val MAX_DEADLINE_MS = 15_000L
        private const val MAX_THINK_MS = 400L
        private const val MAX_BODY_BYTES = 4_000
        private const val HALVED_OF = 4
        private const val CHUNKED_OF = 3
        private const val CHUNK_BYTES = 900
        private const val HEX = 16
        private const val MAX_HALF_PAUSE_MS = 1_500L
        private const val SLOW_OF = 6
        private const val SLOW_BUFFER_BYTES = 4_096
        private const val SLOW_PAUSE_MS = 30L
        private const val SLOW_STEP_BYTES = 600
        private const val CONNECT_MS = 1_000
        private const val RECONNECT_MS = 50L

        /** A caller waits so long past its deadline, counted from its last byte, before it counts the request as held. */
        const val HELD_MS = 500L
        private const val LAST_ANSWERS_MS = 20_000L
    }
}
