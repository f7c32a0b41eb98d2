package samphirechute.testkit

import samphirechute.core.HostPort
import samphirechute.core.engine.Announcement
import samphirechute.net.EventLoop
import samphirechute.net.Exchange
import samphirechute.net.HttpClient
import samphirechute.net.HttpServer

/** A small plain service that counts each execution by request id, so that a repeated one is visible. */
class StandInApplication(
    private val options: StandInOptions,
    private val loop: EventLoop,
    client: HttpClient,
    key: String?,
) {
    private val executions = HashMap<String, Int>()
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
        val requestId = exchange.request.header("X-Request-Id").orEmpty()
        if (exchange.request.path == "/control/count") {
            val id = exchange.request.query("request").orEmpty()
            return exchange.respond(200, "application/json", """{"count":${executions[id] ?: 0}}""".encodeToByteArray())
        }
        val count = executions.merge(requestId, 1, Int::plus)
        val answer = """{"application":"${options.id}","path":"${exchange.request.path}","execution":$count}"""
        val headers = mapOf("X-Request-Id" to requestId)
        exchange.respond(200, "application/json", answer.encodeToByteArray(), headers)
    }

    private fun announcement() =
        Announcement(
            upstream = options.id,
            failureDomain = options.failureDomain,
            address = address.toString(),
            generation = generation,
            sequence = ++sequence,
            kind = "application",
            pools = options.poolNames,
            maxConcurrency = options.maxConcurrency,
            coldConcurrency = options.coldConcurrency,
        )
}
