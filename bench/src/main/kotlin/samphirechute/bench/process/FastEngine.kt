package samphirechute.bench.process

import kotlinx.serialization.json.Json
import samphirechute.core.HostPort
import samphirechute.core.engine.Announcement
import samphirechute.core.engine.GenerateBody
import samphirechute.core.engine.TokenLine
import samphirechute.net.EventLoop
import samphirechute.net.Exchange
import samphirechute.net.HttpClient
import samphirechute.net.HttpServer
import samphirechute.net.ResponseStream
import samphirechute.testkit.Announcer

/** An engine without a model: it sends tokens as fast as they are read, or one each [stepMs]. */
internal class FastEngine(
    private val id: String,
    private val domain: String,
    private val announceTo: HostPort,
    private val stepMs: Long = 0,
) {
    private val loop = EventLoop(id)
    private val server = HttpServer(loop, handler = ::handle)
    private val generation = System.currentTimeMillis()
    private var sequence = 0L

    val address = server.bind(HostPort("127.0.0.1", 0))

    fun start() = loop.post { Announcer(loop, HttpClient(loop), listOf(announceTo), null, ::announcement).start() }

    private fun handle(exchange: Exchange) {
        if (exchange.request.path != "/v1/generate") return exchange.respond(OK, "application/json", EMPTY)
        val body = json.decodeFromString(GenerateBody.serializer(), exchange.request.body.decodeToString())
        val answer = Answer(body, exchange.startStream(OK, "application/x-ndjson"))
        if (stepMs == 0L) answer.sendAll() else answer.step()
    }

    private fun announcement() =
        Announcement(
            upstream = id,
            failureDomain = domain,
            address = address.toString(),
            generation = generation,
            sequence = ++sequence,
            kind = "engine",
            pools = listOf(POOL),
            maxConcurrency = MAX_CONCURRENCY,
            memoryTokens = MEMORY_TOKENS,
            prefillTokensPerSecond = PREFILL_RATE,
            decodeStepMs = maxOf(1.0, stepMs.toDouble()),
            coldConcurrency = MAX_CONCURRENCY,
            coldPrefillTokens = MEMORY_TOKENS,
        )

    private inner class Answer(
        private val body: GenerateBody,
        private val stream: ResponseStream,
    ) {
        private var offset = body.resumeOffset

        fun sendAll() {
            stream.onWritable = ::sendAll
            while (offset < body.maxTokens && stream.isWritable) send(BATCH)
            if (offset >= body.maxTokens) finish()
        }

        fun step() {
            if (offset >= body.maxTokens) return finish()
            send(1)
            loop.timer.after(stepMs, ::step)
        }

        private fun send(count: Int) {
            val last = minOf(offset + count, body.maxTokens)
            val text = buildString { while (offset < last) append(line(TokenLine(id(), offset++, "token "))) }
            stream.write(text.encodeToByteArray())
        }

        private fun finish() {
            stream.onWritable = {}
            stream.write(line(TokenLine(id(), done = true, totalTokens = offset)).encodeToByteArray())
            stream.finish()
        }

        private fun id() = body.requestId.value

        private fun line(line: TokenLine) = json.encodeToString(TokenLine.serializer(), line) + "\n"
    }

    companion object {
        const val POOL = "bench"
        private const val OK = 200
        private const val BATCH = 32
        private const val MAX_CONCURRENCY = 4_000
        private const val MEMORY_TOKENS = 100_000_000L
        private const val PREFILL_RATE = 1e9
        private val EMPTY = "{}".encodeToByteArray()
        private val json = Json { ignoreUnknownKeys = true }
    }
}
