package samphirechute.testkit

import kotlinx.serialization.json.Json
import samphirechute.core.HostPort
import samphirechute.core.engine.Announcement
import samphirechute.core.engine.RefusalBody
import samphirechute.net.EventLoop
import samphirechute.net.Exchange
import samphirechute.net.HttpClient
import samphirechute.net.HttpServer

/**
 * A small plain service that counts each execution by request id, so that a repeated one is visible at
 * `GET /control/count?request=ID`. Faults strike after the execution, except a refusal, which comes before it.
 */
class StandInApplication(
    private val options: StandInOptions,
    private val loop: EventLoop,
    client: HttpClient,
    key: String?,
    private val onDied: () -> Unit = {},
) : AutoCloseable {
    private val executions = HashMap<String, Int>()
    private val faults = FaultSwitch()
    private val control = ControlApi(faults, ::faultSwitched, ::leave)
    private val server = HttpServer(loop, handler = ::handle)
    private val generation = System.currentTimeMillis()
    private var sequence = 0L
    private var running = 0
    private var isDead = false
    private var isLeaving = false
    private var address = options.listenAddress
    private val announcer = Announcer(loop, client, options.announceTo, key, ::announcement)

    fun start(): HostPort {
        address = server.bind(options.listenAddress)
        loop.post(announcer::start)
        return address
    }

    override fun close() {
        isDead = true
        server.close()
    }

    private fun handle(exchange: Exchange) {
        if (control.handle(exchange)) return
        val requestId = exchange.request.header(REQUEST_ID).orEmpty()
        when {
            exchange.request.path == "/control/count" -> count(exchange)
            faults.isOn(UpstreamFault.REFUSE) -> refuse(exchange, requestId, "refusing")
            isLeaving -> refuse(exchange, requestId, "leaving")
            running >= options.maxConcurrency -> refuse(exchange, requestId, "full")
            else -> execute(exchange, requestId)
        }
    }

    private fun count(exchange: Exchange) {
        val id = exchange.request.query("request").orEmpty()
        exchange.respondJson(OK, """{"count":${executions[id] ?: 0}}""")
    }

    private fun execute(
        exchange: Exchange,
        requestId: String,
    ) {
        val execution = executions.merge(requestId, 1, Int::plus) ?: 1
        running++
        val waitMs = options.serviceMs + if (faults.isOn(UpstreamFault.LATE)) options.lateMs else 0
        loop.timer.after(waitMs) {
            running--
            answer(exchange, requestId, execution)
        }
    }

    private fun answer(
        exchange: Exchange,
        requestId: String,
        execution: Int,
    ) {
        val answeredId = if (faults.isOn(UpstreamFault.CROSSED)) "$requestId-other" else requestId
        val body = """{"application":"${options.id}","path":"${exchange.request.path}","execution":$execution}"""
        when {
            faults.isOn(UpstreamFault.SILENT) -> {}

            faults.isOn(UpstreamFault.CLOSE) -> {
                exchange.drop()
            }

            faults.isOn(UpstreamFault.GARBAGE) -> {
                exchange.respondJson(OK, "}not json")
            }

            else -> {
                exchange.respondJson(OK, body, mapOf(REQUEST_ID to answeredId))
            }
        }
    }

    private fun refuse(
        exchange: Exchange,
        requestId: String,
        code: String,
    ) {
        val body = Json.encodeToString(RefusalBody.serializer(), RefusalBody(requestId, code))
        exchange.respondJson(UNAVAILABLE, body, mapOf(REQUEST_ID to requestId))
    }

    private fun faultSwitched(fault: UpstreamFault) {
        if (fault != UpstreamFault.DIE) return
        close()
        onDied()
    }

    private fun leave() {
        isLeaving = true
        announcer.announce()
    }

    private fun announcement(): Announcement? {
        if (isDead) return null
        return Announcement(
            upstream = options.id,
            failureDomain = options.failureDomain,
            address = address.toString(),
            generation = generation,
            sequence = ++sequence,
            kind = "application",
            pools = options.poolNames,
            maxConcurrency = options.maxConcurrency,
            coldConcurrency = options.coldConcurrency,
            runningRequests = running,
            leaving = isLeaving,
        )
    }

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val OK = 200
        const val UNAVAILABLE = 503
    }
}
