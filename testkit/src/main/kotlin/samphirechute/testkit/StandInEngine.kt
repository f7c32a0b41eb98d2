package samphirechute.testkit

import kotlinx.serialization.json.Json
import samphirechute.core.HostPort
import samphirechute.core.RequestId
import samphirechute.core.engine.Announcement
import samphirechute.core.engine.CancelBody
import samphirechute.core.engine.GenerateBody
import samphirechute.core.engine.TokenLine
import samphirechute.core.time.Subscription
import samphirechute.net.EventLoop
import samphirechute.net.Exchange
import samphirechute.net.HttpClient
import samphirechute.net.HttpServer
import samphirechute.net.ResponseStream

/** A small model engine over HTTP. Its answer to a request depends on the request id only, so it can be checked. */
class StandInEngine(
    private val options: StandInOptions,
    private val loop: EventLoop,
    client: HttpClient,
    key: String?,
) {
    private val running = HashMap<RequestId, Running>()
    private val server = HttpServer(loop, handler = ::handle)
    private val generation = System.currentTimeMillis()
    private var sequence = 0L
    private var address = options.listenAddress
    private val announcer = Announcer(loop, client, options.announceTo, key, ::announcement)

    fun start(): HostPort {
        address = server.bind(options.listenAddress)
        loop.post(announcer::start)
        return address
    }

    private fun handle(exchange: Exchange) {
        val body = exchange.request.body.decodeToString()
        when (exchange.request.path) {
            "/v1/generate" -> generate(exchange, json.decodeFromString(GenerateBody.serializer(), body))
            "/v1/cancel" -> cancel(exchange, json.decodeFromString(CancelBody.serializer(), body))
            else -> exchange.respond(404, JSON_TYPE, "{}".encodeToByteArray())
        }
    }

    private fun generate(
        exchange: Exchange,
        body: GenerateBody,
    ) {
        if (running.size >= options.maxConcurrency) {
            return exchange.respond(429, JSON_TYPE, """{"error":{"code":"full"}}""".encodeToByteArray())
        }
        val request = Running(body, exchange.startStream(200, "application/x-ndjson"))
        running[body.requestId] = request
        exchange.onAborted = { end(request) }
        exchange.releaseBody()
        val prefillMs = (body.promptTokens * 1_000 / options.prefillTokensPerSecond).toLong()
        request.timer = loop.timer.after(prefillMs) { request.step() }
    }

    private fun cancel(
        exchange: Exchange,
        body: CancelBody,
    ) {
        running[body.requestId]?.let {
            end(it)
            it.stream.abort()
        }
        exchange.respond(200, JSON_TYPE, "{}".encodeToByteArray())
    }

    private fun end(request: Running) {
        request.timer?.cancel()
        running.remove(request.body.requestId, request)
    }

    private fun announcement() =
        Announcement(
            upstream = options.id,
            failureDomain = options.failureDomain,
            address = address.toString(),
            generation = generation,
            sequence = ++sequence,
            kind = "engine",
            pools = options.poolNames,
            maxConcurrency = options.maxConcurrency,
            memoryTokens = options.memoryTokens,
            prefillTokensPerSecond = options.prefillTokensPerSecond,
            decodeStepMs = options.decodeStepMs,
            coldConcurrency = options.coldConcurrency,
            runningRequests = running.size,
            held = running.values.associate { it.body.requestId.value to it.body.promptTokens + it.body.maxTokens },
            checksFencing = options.checksFencing,
        )

    private inner class Running(
        val body: GenerateBody,
        val stream: ResponseStream,
    ) {
        private var offset = body.resumeOffset
        var timer: Subscription? = null

        fun step() {
            if (offset == body.maxTokens) return finish()
            write(TokenLine(body.requestId.value, offset, DeterministicAnswer.token(body.requestId, offset)))
            offset++
            timer = loop.timer.after(options.decodeStepMs.toLong()) { step() }
        }

        private fun finish() {
            write(TokenLine(body.requestId.value, done = true, totalTokens = offset))
            end(this)
            stream.finish()
        }

        private fun write(line: TokenLine) =
            stream.write((json.encodeToString(TokenLine.serializer(), line) + "\n").encodeToByteArray())
    }

    private companion object {
        const val JSON_TYPE = "application/json"
        val json = Json { ignoreUnknownKeys = true }
    }
}
