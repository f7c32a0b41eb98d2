package samphirechute.net

import org.junit.jupiter.api.Nested
import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Callers that send requests ahead on raw sockets, and handlers that answer them in each way that [Exchange] allows and
 * once more when they should not. Requests, pieces and delays are generated from fixed seeds.
 */
class ForeignAnswerSpec {
    private enum class Answer { AT_ONCE, LATE, PIECES, STREAM, BROKEN_OFF }

    /** What the handler does with an exchange whose answer is complete. */
    private enum class Afterwards { NOTHING, RESPOND, RELAY, WRITE, ABORT }

    private class Plan(
        val id: String,
        val method: String,
        val body: ByteArray,
        val isChunked: Boolean,
        val version: String,
        val isLast: Boolean,
        val answer: Answer,
        val afterwards: Afterwards,
        val status: Int,
        val answerBytes: Int,
        val hasLength: Boolean,
        val delayMs: Long,
    ) {
        val uri = "/$id/path?query=$id"
        val answerBody = ByteArray(answerBytes) { "$id|"[it % (id.length + 1)].code.toByte() }
        val hasNoBody = method == "HEAD" || status in BODILESS

        /** Whether the head alone is a whole answer, after which the handler cannot break it off. */
        val isWholeWithItsHead = hasNoBody || (hasLength && answerBytes == 0)

        fun wire(random: Random): ByteArray {
            val head =
                "$method $uri $version\r\nHost: h\r\nX-Id: $id\r\n" +
                    (if (isLast && version == "HTTP/1.1") "Connection: close\r\n" else "") +
                    (if (isChunked) "Transfer-Encoding: chunked\r\n" else "Content-Length: ${body.size}\r\n") + "\r\n"
            return head.encodeToByteArray() + if (isChunked) chunks(random) else body
        }

        private fun chunks(random: Random): ByteArray {
            var wire = ByteArray(0)
            var from = 0
            while (from < body.size) {
                val piece = body.copyOfRange(from, minOf(body.size, from + random.nextInt(1, body.size + 1)))
                wire += "${piece.size.toString(HEX)}\r\n".encodeToByteArray() + piece + "\r\n".encodeToByteArray()
                from += piece.size
            }
            return wire + "0\r\n\r\n".encodeToByteArray()
        }
    }

    private class Received(
        val status: Int,
        val id: String?,
        val body: ByteArray,
    )

    /** A server whose handler follows the plan of each request and compares the request with it. */
    private class World(
        seed: Int,
    ) : AutoCloseable {
        val plans = List(CALLERS) { plansOf(it, Random(seed * CALLERS + it)) }
        private val byId = plans.flatten().associateBy { it.id }
        private val handled = ConcurrentHashMap.newKeySet<String>()
        val faults = ConcurrentLinkedQueue<String>()
        val fixture = LoopbackFixture(ServerLimits()) { handle(it) }

        private fun plansOf(
            caller: Int,
            random: Random,
        ): List<Plan> {
            val count = random.nextInt(1, MAX_REQUESTS + 1)
            return List(count) { index ->
                val method = listOf("GET", "HEAD", "POST", "PUT", "POST").random(random)
                val isLast = index == count - 1
                val bodyBytes = if (method in BODILESS_METHODS) 0 else SIZES_BYTES.random(random)
                Plan(
                    "c$caller-$index",
                    method,
                    random.nextBytes(bodyBytes),
                    bodyBytes > 0 && random.nextBoolean(),
                    if (isLast && random.nextInt(4) == 0) "HTTP/1.0" else "HTTP/1.1",
                    isLast,
                    if (random.nextInt(12) == 0) Answer.BROKEN_OFF else Answer.entries.random(random),
                    Afterwards.entries.random(random),
                    STATUSES.random(random),
                    SIZES_BYTES.random(random),
                    random.nextBoolean(),
                    random.nextLong(0, MAX_DELAY_MS + 1),
                ).let { if (it.isChunked && it.version == "HTTP/1.0") it.withoutChunks() else it }
            }
        }

        private fun Plan.withoutChunks() =
            Plan(
                id,
                method,
                body,
                false,
                version,
                isLast,
                answer,
                afterwards,
                status,
                answerBytes,
                hasLength,
                delayMs,
            )

        private fun handle(exchange: Exchange) {
            val request = exchange.request
            val plan = byId[request.header("X-Id")]
            if (plan == null) {
                faults += "handled ${request.method} ${request.uri}, which nobody sent"
                return exchange.respond(400, "text/plain", ByteArray(0))
            }
            if (!handled.add(plan.id)) faults += "${plan.id} was handled twice"
            if (request.method != plan.method || request.uri != plan.uri || !request.body.contentEquals(plan.body)) {
                faults += "${plan.id} was handled as ${request.method} ${request.uri} with ${request.body.size} bytes"
            }
            exchange.onAborted = {
                writeOnce(exchange)
                fixture.loop.timer.after(plan.delayMs) { writeOnce(exchange) }
            }
            answer(exchange, plan)
        }

        private fun answer(
            exchange: Exchange,
            plan: Plan,
        ) {
            val fields = mapOf("X-Id" to plan.id)
            val timer = fixture.loop.timer
            if (plan.answer == Answer.AT_ONCE || plan.answer == Answer.LATE) {
                val respond = {
                    exchange.respond(plan.status, "text/plain", plan.answerBody, fields)
                    interfere(exchange, plan, null)
                }
                if (plan.answer == Answer.AT_ONCE) respond() else timer.after(plan.delayMs) { respond() }
                return
            }
            val isDelimited = plan.answer == Answer.PIECES || (plan.answer == Answer.BROKEN_OFF && plan.hasLength)
            val lengthBytes =
                plan.answerBody.size
                    .toLong()
                    .takeIf { isDelimited }
            val stream = exchange.startRelay(plan.status, listOf(HeaderField("X-Id", plan.id)), lengthBytes)
            val half = plan.answerBody.size / 2
            stream.write(plan.answerBody.copyOf(half))
            timer.after(plan.delayMs) {
                if (plan.answer == Answer.BROKEN_OFF) {
                    stream.abort()
                } else {
                    stream.write(plan.answerBody.copyOfRange(half, plan.answerBody.size))
                    stream.finish()
                }
                interfere(exchange, plan, stream)
            }
        }

        /** Uses the exchange again, at once and when the next one on its connection may be active. */
        private fun interfere(
            exchange: Exchange,
            plan: Plan,
            stream: ResponseStream?,
        ) {
            val again = {
                when (plan.afterwards) {
                    Afterwards.NOTHING -> {
                        Unit
                    }

                    Afterwards.RESPOND -> {
                        exchange.respond(200, "text/plain", FOREIGN)
                    }

                    Afterwards.RELAY -> {
                        writeOnce(exchange)
                    }

                    Afterwards.WRITE -> {
                        stream?.write(FOREIGN)
                        stream?.finish()
                    }

                    Afterwards.ABORT -> {
                        exchange.releaseBody()
                        stream?.abort()
                    }
                }
            }
            again()
            fixture.loop.timer.after(plan.delayMs) { again() }
        }

        private fun writeOnce(exchange: Exchange) {
            exchange.respond(200, "text/plain", FOREIGN)
            exchange.startRelay(200, emptyList(), FOREIGN.size.toLong()).apply { write(FOREIGN) }.finish()
            exchange.startStream(200, "text/plain").apply { write(FOREIGN) }.abort()
        }

        /** Waits until no connection is left and returns the bytes of the body budget that are then still in use. */
        fun heldBytes(): Long {
            val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LoopbackFixture.DEADLINE_MS)
            while (onLoop { fixture.server.openConnections } > 0 && System.nanoTime() < end) Thread.onSpinWait()
            return onLoop { fixture.server.bufferedBytes }
        }

        private fun <T> onLoop(read: () -> T): T =
            CompletableFuture<T>()
                .also { fixture.loop.post { it.complete(read()) } }
                .get(LoopbackFixture.DEADLINE_MS, TimeUnit.MILLISECONDS)

        override fun close() = fixture.close()
    }

    /** One connection. It sends some requests ahead, reads their answers, and goes on with the next ones. */
    private class Caller(
        private val world: World,
        private val plans: List<Plan>,
        private val random: Random,
    ) {
        private val leaves = random.nextInt(LEAVING) == 0
        private val leavesWhileSending = random.nextBoolean()
        private var isOpen = true
        var answers = 0
            private set

        fun run() {
            Socket(world.fixture.address.host, world.fixture.address.port).use { socket ->
                socket.soTimeout = LoopbackFixture.DEADLINE_MS.toInt()
                socket.tcpNoDelay = true
                val input = BufferedInputStream(socket.getInputStream())
                var next = 0
                val leavesAt = if (leaves) random.nextInt(plans.size) else plans.size
                while (next < plans.size && isOpen) {
                    val batch = plans.subList(next, random.nextInt(next, plans.size) + 1)
                    next += batch.size
                    val wire = batch.map { it.wire(random) }.reduce(ByteArray::plus)
                    val isLeaving = next > leavesAt
                    val sentBytes = if (isLeaving && leavesWhileSending) random.nextInt(wire.size) else wire.size
                    val sending = thread(isDaemon = true) { runCatching { send(socket, wire.copyOf(sentBytes)) } }
                    if (isLeaving) {
                        if (!leavesWhileSending) batch.take(random.nextInt(batch.size)).forEach { expect(input, it) }
                        return
                    }
                    batch.forEach { if (isOpen) expect(input, it) }
                    sending.join(LoopbackFixture.DEADLINE_MS)
                    if (isOpen && !batch.last().isLast && input.available() > 0) fault("bytes while no request waits")
                }
                if (isOpen && runCatching { input.read() }.getOrDefault(-1) >= 0) fault("bytes after the last answer")
            }
        }

        private fun send(
            socket: Socket,
            wire: ByteArray,
        ) {
            val output = socket.getOutputStream()
            val isWhole = random.nextBoolean()
            var from = 0
            while (from < wire.size) {
                val size = if (isWhole) wire.size else random.nextInt(1, MAX_PIECE_BYTES)
                val until = minOf(wire.size, from + size)
                output.write(wire, from, until - from)
                from = until
            }
        }

        private fun expect(
            input: InputStream,
            plan: Plan,
        ) {
            if (!isOpen) return
            val received =
                try {
                    read(input, plan)
                } catch (error: IOException) {
                    isOpen = false
                    if (plan.answer != Answer.BROKEN_OFF) fault("no whole answer to ${plan.id}: ${error.message}")
                    return
                }
            answers++
            val isOwn = received.status == plan.status && received.id == plan.id
            val isWhole = received.body.contentEquals(if (plan.hasNoBody) ByteArray(0) else plan.answerBody)
            val isBroken = plan.answer == Answer.BROKEN_OFF && !plan.isWholeWithItsHead
            if (plan.answer == Answer.BROKEN_OFF) isOpen = false
            if (isOwn && isWhole && !isBroken) return
            isOpen = false
            fault(
                "${plan.id} (${plan.method}, ${plan.answer}, ${plan.status}, ${plan.answerBytes} bytes) got " +
                    "${received.status} of ${received.id} with ${received.body.size} bytes",
            )
        }

        private fun read(
            input: InputStream,
            plan: Plan,
        ): Received {
            val head = readUntil(input, "\r\n\r\n")
            val status = head.substringAfter(' ').take(3).toIntOrNull() ?: throw IOException("no head: '$head'")
            val fields =
                head.lines().drop(1).associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
            val length = fields["content-length"]?.toInt()
            val body =
                when {
                    plan.hasNoBody -> ByteArray(0)
                    fields["transfer-encoding"] == "chunked" -> readChunks(input)
                    length != null -> input.readNBytes(length).also { if (it.size < length) throw IOException("cut") }
                    else -> input.readAllBytes()
                }
            return Received(status, fields["x-id"], body)
        }

        private fun readChunks(input: InputStream): ByteArray {
            var body = ByteArray(0)
            while (true) {
                val size =
                    readUntil(input, "\r\n").trim().toIntOrNull(HEX) ?: throw IOException("no chunk")
                val chunk = input.readNBytes(size)
                if (chunk.size < size || readUntil(input, "\r\n") != "\r\n") throw IOException("cut in a chunk")
                if (size == 0) return body
                body += chunk
            }
        }

        private fun readUntil(
            input: InputStream,
            end: String,
        ): String {
            val text = StringBuilder()
            while (!text.endsWith(end)) {
                val byte = input.read()
                if (byte < 0) throw IOException("the connection ended")
                text.append(byte.toChar())
            }
            return "$text"
        }

        private fun fault(text: String) {
            world.faults += "$text (in a connection of ${plans.size})"
        }
    }

    @Nested
    inner class RequestsSentAhead {
        /** Guards against an answer, or bytes of one, that reach the caller in place of those of another exchange. */
        @Test
        fun `each get their own whole answer, in order, whatever the handlers do`() {
            for (seed in SEEDS) {
                World(seed).use { world ->
                    val executor = Executors.newFixedThreadPool(THREADS)
                    try {
                        val callers =
                            world.plans.mapIndexed { index, plans ->
                                Caller(world, plans, Random(-(seed * CALLERS + index)))
                            }
                        val runs = callers.map { caller -> Callable { caller.run() } }
                        executor.invokeAll(runs, LIMIT_S, TimeUnit.SECONDS).forEach { it.get() }
                        val answers = callers.sumOf { it.answers }
                        println("ForeignAnswerSpec: seed $seed, $answers answers, ${world.faults.size} faults")
                        assertEquals(emptyList(), world.faults.toList(), "seed $seed")
                        assertEquals(0, world.heldBytes(), "bytes of the body budget, seed $seed")
                    } finally {
                        executor.shutdownNow()
                    }
                }
            }
        }
    }

    private companion object {
        val SEEDS = 1..5
        const val CALLERS = 150
        const val THREADS = 16
        const val MAX_REQUESTS = 8

        /** One caller of so many leaves before it has all answers. */
        const val LEAVING = 4
        const val MAX_DELAY_MS = 4L
        const val MAX_PIECE_BYTES = 3_000
        const val LIMIT_S = 60L
        const val HEX = 16
        val SIZES_BYTES = listOf(0, 1, 2, 30, 500, 9_000, 70_000, 200_000)
        val STATUSES = listOf(200, 200, 201, 204, 304, 404, 500, 503)
        val BODILESS = setOf(204, 304)
        val BODILESS_METHODS = setOf("GET", "HEAD")
        val FOREIGN = "foreign".encodeToByteArray()
    }
}
