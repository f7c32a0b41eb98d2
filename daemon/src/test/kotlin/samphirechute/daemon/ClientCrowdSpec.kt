package samphirechute.daemon

import org.junit.jupiter.api.Timeout
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against clients that end `samphirechuted` with heads of legal size in short lines; its heap is the usual one. */
@Timeout(120)
class ClientCrowdSpec {
    private val folder = Files.createTempDirectory("crowd")
    private val port = ServerSocket(0, 1, InetAddress.getByName(IP)).use { it.localPort }
    private val sockets = ArrayList<Socket>()

    @Test
    fun `unfinished heads of 300 connections do not end the process`() {
        val process = start()
        try {
            val endNs = System.nanoTime() + START_LIMIT.toNanos()
            while (runCatching { health() }.getOrNull() != OK) {
                check(process.isAlive && System.nanoTime() < endNs) { "the process does not serve" }
                TimeUnit.MILLISECONDS.sleep(POLL_MS)
            }
            repeat(CONNECTIONS) { sendHead() }
            while (process.isAlive && hasUnread()) {
                check(System.nanoTime() < endNs) { "the process does not read its connections" }
                TimeUnit.MILLISECONDS.sleep(POLL_MS)
            }
            val status = runCatching { health() }
            assertTrue(process.isAlive, "the process has ended, the request got $status")
            assertEquals(OK, status.getOrNull(), "$status")
            assertTrue(peakResidentMb(process) <= MAX_RESIDENT_MB, "${peakResidentMb(process)} MB")
        } finally {
            sockets.forEach { it.close() }
            process.destroyForcibly().waitFor()
            folder.toFile().deleteRecursively()
        }
    }

    private fun start(): Process {
        val settings = folder.resolve("settings.toml")
        val member = "instance = \"a-1\"\nfailure_domain = \"a\"\n"
        val text =
            member + "listen = \"$IP:$port\"\n[store]\ndata_folder = \"data\"\n" +
                "[[peers]]\n" + member + "address = \"$IP:$port\"\nstore = true\n"
        Files.writeString(settings, text)
        val java = Path.of(System.getProperty("java.home"), "bin", "java")
        val classPath = System.getProperty("java.class.path")
        return ProcessBuilder(listOf("$java") + OPTIONS + listOf("-cp", classPath, MAIN, "--config", "$settings"))
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start()
    }

    private fun sendHead() {
        try {
            val socket = Socket(IP, port).also(sockets::add)
            socket.getOutputStream().write(HEAD)
        } catch (_: IOException) {
            // The process may close a connection early; whether it runs is checked afterwards.
        }
    }

    private fun health(): Int {
        val request = HttpRequest.newBuilder(URI("http://$IP:$port/healthz")).timeout(REQUEST_LIMIT).build()
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding()).statusCode()
    }

    private fun hasUnread(): Boolean {
        val tables = listOf("/proc/net/tcp", "/proc/net/tcp6").map(Path::of).filter(Files::exists)
        val rows = tables.flatMap { Files.readAllLines(it).drop(1) }.map { it.trim().split(SPACES) }
        val local = ":%04X".format(port)
        return rows.any { it[1].endsWith(local) && it[QUEUES].substringAfter(':').toLong(HEX) > 0 }
    }

    private fun peakResidentMb(process: Process) =
        Files
            .readAllLines(Path.of("/proc/${process.pid()}/status"))
            .first { it.startsWith("VmHWM:") }
            .filter { it.isDigit() }
            .toLong() / KB_PER_MB

    private companion object {
        const val IP = "127.0.0.1"
        const val MAIN = "samphirechute.daemon.MainKt"
        const val OK = 200
        const val CONNECTIONS = 300
        const val POLL_MS = 50L
        const val QUEUES = 4
        const val HEX = 16
        const val KB_PER_MB = 1024

        /** The memory of the smallest entry process in hard-load.md. */
        const val MAX_RESIDENT_MB = 282
        const val HEAD_BYTES = 15_000
        val SPACES = Regex(" +")
        val START_LIMIT: Duration = Duration.ofSeconds(60)
        val REQUEST_LIMIT: Duration = Duration.ofSeconds(10)

        /** The heap of `bin/samphirechuted`. */
        val OPTIONS =
            "-Xms16m -Xmx48m -Xmn8m -Xss256k -XX:MaxDirectMemorySize=10m -XX:TieredStopAtLevel=1 -XX:+UseSerialGC"
                .split(' ') + "-XX:+ExitOnOutOfMemoryError"
        val HEAD = ("GET /healthz HTTP/1.1\r\n" + "a:\r\nb:\r\nc:1\r\n".repeat(HEAD_BYTES / 13)).toByteArray()
    }
}
