package samphirechute.testkit

import kotlinx.serialization.json.Json
import samphirechute.core.HostPort
import samphirechute.core.engine.Announcement
import samphirechute.core.engine.CancelBody
import samphirechute.core.engine.GenerateBody
import samphirechute.core.engine.KvBody
import samphirechute.core.engine.OrderBody
import samphirechute.core.engine.RefusalBody
import samphirechute.net.EventLoop
import samphirechute.net.Exchange
import samphirechute.net.HttpClient
import samphirechute.net.HttpServer
import samphirechute.testkit.engine.EngineModel
import kotlin.random.Random

/**
 * A small model engine over HTTP. Its answer to a request depends on the request id only, so it can be checked.
 * [EngineModel] has the scheduling; this class has the paths, the announcements and the faults.
 */
class StandInEngine(
    private val options: StandInOptions,
    private val loop: EventLoop,
    client: HttpClient,
    key: String?,
    private val onDied: () -> Unit = {},
) : AutoCloseable {
    private val model = EngineModel(options.engineSettings(), loop.timer, Random(options.seed))
    private val faults = FaultSwitch()
    private val control = ControlApi(faults, ::faultSwitched, ::leave)
    private val server = HttpServer(loop, handler = ::handle)
    private val firstGeneration = System.currentTimeMillis()
    private var sequence = 0L
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
        if (model.isDown) return exchange.drop()
        val body = exchange.request.body.decodeToString()
        when (exchange.request.path) {
            "/v1/generate" -> {
                generate(exchange, json.decodeFromString(GenerateBody.serializer(), body))
            }

            "/v1/cancel" -> {
                cancel(exchange, json.decodeFromString(CancelBody.serializer(), body))
            }

            "/v1/orders" -> {
                order(exchange, json.decodeFromString(OrderBody.serializer(), body))
            }

            "/v1/kv/export", "/v1/kv/import", "/v1/kv/release" -> {
                keyValue(exchange, json.decodeFromString(KvBody.serializer(), body))
            }

            "/control/state" -> {
                exchange.respondJson(OK, state())
            }

            "/control/orders" -> {
                exchange.respondJson(OK, ordersExecuted())
            }

            else -> {
                exchange.respondJson(NOT_FOUND, "{}")
            }
        }
    }

    private fun generate(
        exchange: Exchange,
        body: GenerateBody,
    ) {
        if (faults.isOn(UpstreamFault.REFUSE)) return refuse(exchange, body.requestId.value, TOO_MANY, "refusing")
        if (isLeaving) return refuse(exchange, body.requestId.value, UNAVAILABLE, "leaving")
        val answer = LazyStream { exchange.startStream(OK, "application/x-ndjson") }
        val listener = EngineStream(body.requestId, answer, faults, loop.timer, options.lateMs)
        exchange.onAborted = { model.cancel(body.requestId, body.attempt) }
        exchange.releaseBody()
        val refusal = model.submit(body, listener)
        if (refusal != null) return refuse(exchange, body.requestId.value, TOO_MANY, refusal)
        if (!faults.isOn(UpstreamFault.SILENT)) answer.open()
    }

    private fun cancel(
        exchange: Exchange,
        body: CancelBody,
    ) {
        if (faults.isOn(UpstreamFault.SILENT)) return
        model.cancel(body.requestId, body.attempt)
        exchange.respondJson(OK, "{}")
    }

    private fun keyValue(
        exchange: Exchange,
        body: KvBody,
    ) {
        val isDone =
            when (exchange.request.path) {
                "/v1/kv/export" -> model.exportKv(body.requestId, body.tokens)
                "/v1/kv/import" -> model.importKv(body.requestId, body.tokens)
                else -> model.releaseKv(body.requestId).let { true }
            }
        if (isDone) exchange.respondJson(OK, "{}") else refuse(exchange, body.requestId.value, CONFLICT, "no_memory")
    }

    private fun order(
        exchange: Exchange,
        body: OrderBody,
    ) {
        if (model.orders.accept(body.operationId, body.fencingNumber, body.order.toString())) {
            exchange.respondJson(OK, """{"operation_id":"${body.operationId}"}""")
        } else {
            refuse(exchange, body.operationId, CONFLICT, "old_fencing_number")
        }
    }

    private fun refuse(
        exchange: Exchange,
        requestId: String,
        status: Int,
        code: String,
    ) {
        val body = json.encodeToString(RefusalBody.serializer(), RefusalBody(requestId, code))
        exchange.respondJson(status, body)
    }

    private fun faultSwitched(fault: UpstreamFault) {
        when (fault) {
            UpstreamFault.DIE -> {
                close()
                onDied()
            }

            UpstreamFault.COLD -> {
                model.becomeCold()
            }

            UpstreamFault.LOSE_CACHE -> {
                model.loseCache()
            }

            else -> {}
        }
    }

    private fun leave() {
        isLeaving = true
        announcer.announce()
    }

    private fun state() =
        """{"running":${model.runningRequests},"used_memory_tokens":${model.usedMemoryTokens},""" +
            """"overloads":${model.overloads},"cold":${model.isCold}}"""

    private fun ordersExecuted() =
        model.orders.executed.joinToString(",", "[", "]") {
            """{"operation_id":"${it.operationId}","fencing_number":${it.fencing},"order":${it.order}}"""
        }

    private fun announcement(): Announcement? {
        if (isDead || model.isDown) return null
        val load = model.reportedLoad()
        return Announcement(
            upstream = options.id,
            failureDomain = options.failureDomain,
            address = address.toString(),
            generation = firstGeneration + model.generation - 1,
            sequence = ++sequence,
            kind = "engine",
            pools = options.poolNames,
            maxConcurrency = options.maxConcurrency,
            memoryTokens = options.memoryTokens,
            prefillTokensPerSecond = options.prefillTokensPerSecond,
            decodeStepMs = options.decodeStepMs,
            coldConcurrency = options.coldConcurrency,
            coldPrefillTokens = options.coldPrefillTokens,
            runningRequests = load.runningRequests,
            queuedPrefillTokens = load.queuedPrefillTokens,
            usedMemoryTokens = load.usedMemoryTokens,
            held = load.held,
            cache = model.takeCacheEvents(),
            leaving = isLeaving,
            checksFencing = options.checksFencing,
        )
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val TOO_MANY = 429
        const val UNAVAILABLE = 503
        val json = Json { ignoreUnknownKeys = true }
    }
}
