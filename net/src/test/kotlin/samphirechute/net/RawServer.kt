package samphirechute.net

import samphirechute.core.HostPort
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A request as [RawServer] read it. */
internal class RawRequest(
    val method: String,
    val id: String,
)

/**
 * A server on an ephemeral loopback port that writes raw bytes. [open] is called with the number of each new connection
 * and returns what answers its requests, which returns false to end the connection.
 */
internal class RawServer(
    private val open: (number: Int, output: OutputStream) -> (RawRequest) -> Boolean,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val connections = AtomicInteger()
    val address = HostPort("127.0.0.1", listener.localPort)

    init {
        thread(isDaemon = true) { acceptAll() }
    }

    private fun acceptAll() {
        while (true) {
            val socket = runCatching { listener.accept() }.getOrNull() ?: return
            val number = connections.incrementAndGet()
            // A client that gives up closes its connection, which ends the reads and writes here with an exception.
            thread(isDaemon = true) { runCatching { socket.use { serve(it, number) } } }
        }
    }

    private fun serve(
        socket: Socket,
        number: Int,
    ) {
        socket.tcpNoDelay = true
        val input = socket.getInputStream().buffered()
        val answer = open(number, socket.getOutputStream())
        while (true) {
            val request = read(input) ?: return
            if (!answer(request)) return
        }
    }

    private fun read(input: InputStream): RawRequest? {
        val lines = generateSequence { readLine(input) }.takeWhile { it.isNotEmpty() }.toList()
        val method = lines.firstOrNull()?.substringBefore(' ') ?: return null
        val fields = lines.drop(1).associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        input.readNBytes(fields["content-length"]?.toInt() ?: 0)
        return RawRequest(method, fields["id"].orEmpty())
    }

    private fun readLine(input: InputStream): String? {
        val bytes = generateSequence { input.read().takeIf { it >= 0 } }.takeWhile { it != '\n'.code }.toList()
        return bytes
            .map { it.toChar() }
            .joinToString("")
            .trimEnd('\r')
            .takeIf { bytes.isNotEmpty() }
    }

    override fun close() = listener.close()

    private companion object {
        const val BACKLOG = 64
    }
}
