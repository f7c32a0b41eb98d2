package samphirechute.daemon

import kotlinx.serialization.KSerializer
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.core.PoolName
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.PublishReply
import samphirechute.core.api.PublishRequest
import samphirechute.core.api.StatusView
import samphirechute.core.service.RequestRule
import samphirechute.core.service.ServiceSpec
import samphirechute.core.service.ServiceTarget
import samphirechute.core.settings.DaemonSettings
import samphirechute.core.settings.PeerSettings
import samphirechute.core.settings.StoreSettings
import samphirechute.net.EventLoop
import samphirechute.net.HttpClient
import samphirechute.testkit.StandInApplication
import samphirechute.testkit.StandInEngine
import samphirechute.testkit.StandInOptions
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.fail

/** Instances and stand-ins on loopback, each on a loop of its own, driven by a client of the JDK. */
internal class ClusterFixture(
    domains: List<String> = listOf("sofia-a", "sofia-b", "sofia-c"),
) : AutoCloseable {
    val peers =
        domains.mapIndexed { index, domain ->
            PeerSettings(InstanceId("i${index + 1}"), FailureDomain(domain), HostPort("127.0.0.1", freePort()), true)
        }
    val exits = HashMap<InstanceId, CompletableFuture<Int>>()
    private val folder = Files.createTempDirectory("samphirechute-test")
    private val loops = HashMap<String, EventLoop>()
    private val daemons = HashMap<InstanceId, Daemon>()
    private val client =
        java.net.http.HttpClient
            .newHttpClient()

    fun startAll() = apply { peers.forEach { start(it.instance) } }

    fun start(id: InstanceId) {
        val peer = peers.first { it.instance == id }
        val settings =
            DaemonSettings(id, peer.failureDomain, peer.address, peers, StoreSettings(folder.resolve(id.value)))
        val loop = EventLoop(id.value).also { loops[id.value] = it }
        val exit = CompletableFuture<Int>().also { exits[id] = it }
        daemons[id] = Daemon(settings, loop) { exit.complete(it) }.also { it.start() }
    }

    /** Stops an instance without a word to anybody. */
    fun kill(id: InstanceId) {
        daemons.remove(id)?.close()
        loops.remove(id.value)?.close()
    }

    /** Empties the data folder of an instance that is not running. */
    fun wipe(id: InstanceId) {
        folder.resolve(id.value).toFile().deleteRecursively()
    }

    fun signalStop(id: InstanceId) = daemons.getValue(id).stopSignalled()

    fun engine(
        domain: Int,
        change: StandInOptions.() -> Unit = {},
    ) = standIn("engine-$domain", domain, "drafting", change) { options, loop, client ->
        StandInEngine(options, loop, client, null).start()
    }

    fun application(
        domain: Int,
        change: StandInOptions.() -> Unit = {},
    ) = standIn("application-$domain", domain, "ordering", change) { options, loop, client ->
        StandInApplication(options, loop, client, null).start()
    }

    private fun standIn(
        id: String,
        domain: Int,
        pool: String,
        change: StandInOptions.() -> Unit,
        start: (StandInOptions, EventLoop, HttpClient) -> HostPort,
    ): HostPort {
        val home = peers[domain]
        val options =
            StandInOptions().apply {
                this.id = id
                failureDomain = home.failureDomain.value
                listen = "127.0.0.1:0"
                announce = peers.filter { it.failureDomain == home.failureDomain }.joinToString(",") { "${it.address}" }
                pools = pool
                decodeStepMs = 1.0
                change()
            }
        val loop = EventLoop(options.id).also { loops[options.id] = it }
        return start(options, loop, HttpClient(loop))
    }

    fun publish(
        services: List<ServiceSpec> = SERVICES,
        base: Long = 0,
        operation: String = "op-$base",
    ): PublishReply {
        val request = PublishRequest(OperationId(operation), base, services)
        val body = ApiJson.encodeToString(PublishRequest.serializer(), request)
        val answer = post(0, ApiPaths.PUBLISH, body)
        return ApiJson.decodeFromString(PublishReply.serializer(), answer.body())
    }

    fun status(index: Int) = view(index, ApiPaths.STATUS, StatusView.serializer())

    fun <T> view(
        index: Int,
        path: String,
        serializer: KSerializer<T>,
    ): T = ApiJson.decodeFromString(serializer, get(index, path).body())

    fun get(
        index: Int,
        path: String,
    ): HttpResponse<String> = send(HttpRequest.newBuilder(uri(index, path)).GET())

    fun getAt(
        address: HostPort,
        path: String,
    ): HttpResponse<String> = send(HttpRequest.newBuilder(URI("http://$address$path")).GET())

    fun postAt(
        address: HostPort,
        path: String,
    ): HttpResponse<String> =
        send(HttpRequest.newBuilder(URI("http://$address$path")).POST(HttpRequest.BodyPublishers.noBody()))

    fun post(
        index: Int,
        path: String,
        body: String,
        vararg headers: Pair<String, String>,
    ): HttpResponse<String> {
        val request = HttpRequest.newBuilder(uri(index, path)).POST(HttpRequest.BodyPublishers.ofString(body))
        headers.forEach { (name, value) -> request.header(name, value) }
        return send(request)
    }

    fun postLater(
        index: Int,
        path: String,
        body: String,
        vararg headers: Pair<String, String>,
    ): CompletableFuture<HttpResponse<String>> = CompletableFuture.supplyAsync { post(index, path, body, *headers) }

    fun complete(
        index: Int,
        prompt: String,
        vararg headers: Pair<String, String>,
        service: String = "draft-reply",
        maxTokens: Int = 5,
        isStream: Boolean = false,
    ): HttpResponse<String> {
        val body = """{"model":"$service","prompt":"$prompt","max_tokens":$maxTokens,"stream":$isStream}"""
        return post(index, ApiPaths.COMPLETIONS, body, *headers)
    }

    /** Waits until [condition] holds, up to [deadlineMs]. */
    fun await(
        what: String,
        deadlineMs: Long = DEADLINE_MS,
        condition: () -> Boolean,
    ) {
        val untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMs)
        while (System.nanoTime() < untilNs) {
            if (runCatching(condition).getOrDefault(false)) return
            CompletableFuture<Unit>().completeOnTimeout(Unit, POLL_MS, TimeUnit.MILLISECONDS).join()
        }
        fail("not within $deadlineMs ms: $what")
    }

    fun awaitReady() =
        await("all instances ready") {
            peers.indices.all {
                get(it, ApiPaths.READINESS).statusCode() ==
                    200
            }
        }

    fun awaitService() = await("requests are served") { peers.indices.all { complete(it, "x").statusCode() == 200 } }

    override fun close() {
        daemons.values.forEach { it.close() }
        loops.values.forEach { it.close() }
        folder.toFile().deleteRecursively()
    }

    private fun send(request: HttpRequest.Builder) =
        client.send(request.timeout(Duration.ofMillis(DEADLINE_MS)).build(), HttpResponse.BodyHandlers.ofString())

    private fun uri(
        index: Int,
        path: String,
    ) = URI("http://${peers[index].address}$path")

    companion object {
        const val DEADLINE_MS = 20_000L
        private const val POLL_MS = 20L

        val SERVICES =
            listOf(
                ServiceSpec(
                    ServiceName("draft-reply"),
                    TeamName("front-desk"),
                    ServiceTarget.Model(PoolName("drafting")),
                    firstTokenMs = 5_000,
                    deadlineMs = 15_000,
                ),
                ServiceSpec(
                    ServiceName("pallet-order"),
                    TeamName("front-desk"),
                    ServiceTarget.Application(PoolName("ordering")),
                    firstTokenMs = 5_000,
                    deadlineMs = 10_000,
                    neverRepeat = listOf(RequestRule(method = "POST", path = "/orders")),
                ),
            )

        private fun freePort() = ServerSocket(0).use { it.localPort }
    }
}
