package samphirechute.bench.stops

import samphirechute.bench.system.Announcer
import samphirechute.bench.system.RunClock
import samphirechute.bench.system.UpstreamPlace
import samphirechute.bench.system.pause
import samphirechute.platform.PlatformHeaders
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import kotlin.random.Random

/** An upstream on plain sockets that writes some of its answers twice, and records each run with its first answer. */
internal class StopsUpstream(
    val place: UpstreamPlace,
    controls: List<String>,
    private val clock: RunClock,
    private val seed: Long,
    private val stutterPercent: Int,
) : AutoCloseable {
    private val workers = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val announcer = Announcer(place, controls, ANNOUNCE_MS, SLOTS)
    private val records = ConcurrentHashMap<String, Run>()
    private val arrivals = ConcurrentHashMap<String, Int>()

    @Volatile private var life = Life(0)

    val runs: List<Run> get() = records.values.toList()

    /** Ends this life, which cuts the requests that run, and begins another one at the same address after [downMs]. */
    fun restart(downMs: Long) {
        life.close()
        pause(downMs)
        life = Life(life.port)
    }

    override fun close() {
        announcer.close()
        life.close()
        workers.shutdownNow()
    }

    /** The time from one start to the next end. */
    private inner class Life(
        port: Int,
    ) : AutoCloseable {
        private val server = ServerSocket(port, BACKLOG, InetAddress.getByName(place.ip))
        private val sockets = ConcurrentHashMap.newKeySet<Socket>()

        @Volatile private var isOver = false
        val port get() = server.localPort

        init {
            workers.execute(::accept)
            announcer.beginLife(this.port)
        }

        override fun close() {
            isOver = true
            server.close()
            sockets.forEach { it.close() }
        }

        private fun accept() {
            try {
                while (true) {
                    val socket = server.accept().apply { tcpNoDelay = true }
                    sockets += socket
                    if (isOver) socket.close()
                    workers.execute { Connection(socket) { isOver }.use { it.serve() } }
                    sockets.removeIf { it.isClosed }
                }
            } catch (e: IOException) {
                if (!isOver) println("upstream_failed upstream=${place.id} cause=$e")
            }
        }
    }

    private inner class Connection(
        private val socket: Socket,
        private val isOver: () -> Boolean,
    ) : AutoCloseable {
        private val reader = WireReader(socket)
        private val output = socket.getOutputStream()

        /** Writes the copy of the answer before, at its time. */
        private var owed: Pair<CopyTime, () -> Unit>? = null

        private fun writeOwed(time: CopyTime) {
            val (due, write) = owed ?: return
            if (due != time) return
            owed = null
            write()
        }

        override fun close() = socket.close()

        /** An end or a reset of the connection is recorded with the run that it meets. */
        fun serve() {
            try {
                var isKept = true
                while (isKept) isKept = serveNext(reader.head() ?: return)
            } catch (_: IOException) {
                return
            }
        }

        private fun serveNext(head: Head): Boolean {
            val id = head[PlatformHeaders.REQUEST_ID]
            if (id == null) {
                reader.body(head, false, ByteArrayOutputStream())
                writeOwed(CopyTime.AtNextRequest)
                writeOwed(CopyTime.AtNextAnswer)
                output.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".toByteArray())
                return true
            }
            val arrival = arrivals.merge(id, 1, Int::plus)!!
            val signature = "${place.id}.$id.$arrival"
            records[signature] = Run(id, signature, clock.nowMs())
            try {
                reader.body(head, false, ByteArrayOutputStream())
                writeOwed(CopyTime.AtNextRequest)
                val isKept = Answering(head, id, signature, arrival).run()
                records.computeIfPresent(signature) { _, run -> run.copy(endMs = clock.nowMs(), end = RunEnd.DONE) }
                return isKept
            } catch (e: IOException) {
                val end = if (isOver()) RunEnd.BROKE_OFF else RunEnd.SENDER_LEFT
                records.computeIfPresent(signature) { _, run -> run.copy(endMs = clock.nowMs(), end = end) }
                throw e
            }
        }

        private inner class Answering(
            head: Head,
            private val id: String,
            private val signature: String,
            arrival: Int,
        ) {
            private val work = Work.of(head.start.split(' ')[1])
            private val status = work.status(arrival)
            private val afterEvent = head[PlatformHeaders.LAST_EVENT_ID]?.toIntOrNull() ?: 0
            private val isStream = work.route == RouteOfStops.STREAM
            private val stutter = Stutter.of(Random(seed * SPREAD + signature.hashCode()), stutterPercent, status)

            /** Returns whether the connection is used again. */
            fun run(): Boolean {
                val body = "$signature says $status" + ".".repeat(id.hashCode().mod(MAX_PADDING_BYTES))
                val isRefused = status == REFUSED
                records.computeIfPresent(signature) { _, run ->
                    run.copy(hasRun = !isRefused, status = status, body = body.takeIf { !isStream || status != OK })
                }
                if (isStream && status == OK) stream() else plain(body, isRefused)
                val isUnframed = work.isUnframed && status == OK
                if (!isUnframed) stutter?.let { again(it, body) }
                return !isUnframed
            }

            private fun plain(
                body: String,
                isRefused: Boolean,
            ) {
                if (!isRefused) work(if (isStream) FAILS_AFTER_MS else work.lengthMs)
                begin(status)
                output.write(answer(status, body))
            }

            /** Records that an answer with [status] begins. */
            private fun begin(status: Int) {
                writeOwed(CopyTime.AtNextAnswer)
                records.computeIfPresent(signature) { _, run -> run.copy(answers = run.answers + status) }
            }

            private fun answer(
                status: Int,
                body: String,
            ): ByteArray {
                val isUnframed = work.isUnframed && status == OK
                val framing = if (isUnframed) "Connection: close" else "Content-Length: ${body.length}"
                return (head(status) + "$framing\r\n\r\n$body").toByteArray()
            }

            private fun stream() {
                begin(OK)
                output.write((head(OK) + STREAM_FIELDS).toByteArray())
                for (number in afterEvent + 1..work.events) {
                    work(work.pauseMs(number))
                    output.write(chunk(work.event(id, number)))
                }
                output.write(LAST_CHUNK)
            }

            /** Works for a time, or until the sender leaves. */
            private fun work(durationMs: Long) {
                if (durationMs > 0 && reader.idle(durationMs) == Idle.CLOSED) throw IOException("the sender left")
            }

            /** Writes the answer once more, now or before the next one. */
            private fun again(
                stutter: Stutter,
                body: String,
            ) {
                records.computeIfPresent(signature) { _, run -> run.copy(copy = "$stutter") }
                val status = stutter.status ?: status
                val copy =
                    if (isStream &&
                        status == OK
                    ) {
                        wholeStream()
                    } else {
                        answer(
                            status,
                            body.replace(
                                "says",
                                "repeats".takeIf { stutter.status != null } ?: "says",
                            ),
                        )
                    }
                val write = {
                    records.computeIfPresent(signature) { _, run -> run.copy(answers = run.answers + status) }
                    stutter.write(copy, output)
                }
                when (val time = stutter.time) {
                    CopyTime.AtNextRequest, CopyTime.AtNextAnswer -> {
                        owed = time to write
                    }

                    is CopyTime.After -> {
                        pause(time.delayMs)
                        write()
                    }
                }
            }

            private fun wholeStream(): ByteArray =
                (afterEvent + 1..work.events).fold((head(OK) + STREAM_FIELDS).toByteArray()) { bytes, number ->
                    bytes + chunk(work.event(id, number))
                } + LAST_CHUNK

            private fun head(status: Int) =
                "HTTP/1.1 $status Status\r\nServer: stand-in-${place.id}\r\n${PlatformHeaders.REQUEST_ID}: $id\r\n" +
                    "${PlatformHeaders.SIGNATURE}: $signature\r\n" +
                    if (status == REFUSED) "${PlatformHeaders.NOT_EXECUTED}: 1\r\n" else ""
        }
    }

    companion object {
        private const val ANNOUNCE_MS = 1_200L
        private const val SLOTS = 32
        private const val BACKLOG = 512
        private const val OK = 200
        private const val REFUSED = 503
        private const val SPREAD = 7_919
        private const val MAX_PADDING_BYTES = 6_000

        /** How long a stream runs that fails before its head. */
        private const val FAILS_AFTER_MS = 100L
        private const val STREAM_FIELDS = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        private val LAST_CHUNK = "0\r\n\r\n".toByteArray()

        private fun chunk(text: String) = "${Integer.toHexString(text.length)}\r\n$text\r\n".toByteArray()
    }
}
