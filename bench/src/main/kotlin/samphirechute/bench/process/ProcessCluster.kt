package samphirechute.bench.process

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import samphirechute.core.HostPort
import samphirechute.net.ClientFailure
import samphirechute.net.ClientRequest
import samphirechute.net.ClientResponse
import samphirechute.net.EventLoop
import samphirechute.net.HttpClient
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

/** Daemons as processes on loopback, spread over failure domains; the first of each domain has a disk. */
internal class ProcessCluster(
    count: Int,
    domainCount: Int = minOf(count, DEFAULT_DOMAINS),
) : AutoCloseable {
    val loop = EventLoop("bench")
    val client = HttpClient(loop)
    private val folder = Files.createTempDirectory("samphirechute-bench")
    private val ports = freePorts(count)
    private val names = (0 until count).map { "i%03d".format(it) }
    private val domains = (0 until count).map { "domain-${it % domainCount}" }
    val daemons = (0 until count).map { daemon(it, domainCount) }

    init {
        // A bench that is interrupted must not leave its daemons behind.
        Runtime.getRuntime().addShutdownHook(Thread { daemons.filter { it.isAlive }.forEach { it.kill() } })
    }

    fun awaitReady() =
        daemons.forEach { daemon ->
            await("${daemon.name} is ready") { get(daemon, "/readyz")?.status == OK }
        }

    fun get(
        daemon: DaemonProcess,
        path: String,
    ): ClientResponse? = call(ClientRequest(daemon.address, "GET", path)).get()

    fun post(
        address: HostPort,
        path: String,
        body: String,
    ): ClientResponse? = call(ClientRequest(address, "POST", path, body.encodeToByteArray())).get()

    fun call(request: ClientRequest): Result<ClientResponse, ClientFailure> {
        val future = CompletableFuture<Result<ClientResponse, ClientFailure>>()
        loop.post { client.call(request, CALL_TIMEOUT_MS) { future.complete(it) } }
        return future.get(2 * CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    /** The sum of the samples of a metric whose line starts with [prefix]. */
    fun metric(
        daemon: DaemonProcess,
        prefix: String,
    ): Double {
        val text = get(daemon, "/metrics")?.body?.decodeToString() ?: return Double.NaN
        return text.lineSequence().filter { it.startsWith(prefix) }.sumOf { it.substringAfterLast(' ').toDouble() }
    }

    fun await(
        what: String,
        condition: () -> Boolean,
    ) {
        val untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS)
        while (!condition()) {
            check(System.nanoTime() < untilNs) { "not within $AWAIT_SECONDS s: $what" }
            pause(POLL_MS)
        }
    }

    fun pause(durationMs: Long) {
        CompletableFuture<Unit>().completeOnTimeout(Unit, durationMs, TimeUnit.MILLISECONDS).join()
    }

    override fun close() {
        daemons.filter { it.isAlive }.forEach { it.kill() }
        loop.close()
        if (System.getProperty(KEEP_LOGS) == null) folder.toFile().deleteRecursively()
    }

    private fun daemon(
        index: Int,
        domainCount: Int,
    ): DaemonProcess {
        val home = folder.resolve(names[index]).createDirectories()
        val file = home.resolve("settings.toml")
        file.writeText(settings(index, domainCount, home))
        val command = listOf(root().resolve("bin/samphirechuted").toString(), "--config", file.toString())
        return DaemonProcess(names[index], domains[index], address(index), command, home.resolve("log"))
    }

    private fun settings(
        index: Int,
        domainCount: Int,
        home: Path,
    ) = buildString {
        appendLine("instance = \"${names[index]}\"")
        appendLine("failure_domain = \"${domains[index]}\"")
        appendLine("listen = \"${address(index)}\"")
        if (index < domainCount) appendLine("[store]\ndata_folder = \"$home/data\"")
        for (peer in ports.indices) {
            appendLine("[[peers]]")
            appendLine("instance = \"${names[peer]}\"\nfailure_domain = \"${domains[peer]}\"")
            appendLine("address = \"${address(peer)}\"\nstore = ${peer < domainCount}")
        }
    }

    private fun address(index: Int) = HostPort("127.0.0.1", ports[index])

    companion object {
        /** When set, the folders of the daemons with their logs stay after the bench. */
        private const val KEEP_LOGS = "samphirechute.keepLogs"
        private const val DEFAULT_DOMAINS = 3
        private const val OK = 200
        private const val CALL_TIMEOUT_MS = 10_000L
        private const val AWAIT_SECONDS = 90L
        private const val POLL_MS = 20L

        /** The folder of the workspace: benches are started by `bin/bench`, which names it. */
        fun root(): Path = Path.of(System.getProperty("samphirechute.root", "."))

        private fun freePorts(count: Int): List<Int> {
            val sockets = (0 until count).map { ServerSocket(0) }
            return sockets.map { it.localPort }.also { sockets.forEach { it.close() } }
        }
    }
}
