package samphirechute.daemon.upstream

import samphirechute.core.HostPort
import java.io.BufferedInputStream
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/**
 * An upstream on real sockets that answers each request twice, the second time late: the copy arrives right before the
 * next answer on the connection. [answer] returns the bytes of an answer.
 */
internal class RepeatingUpstream(
    private val answer: (UpstreamRequest) -> String,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    val address = HostPort("127.0.0.1", listener.localPort)

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { socket.use(::serve) } }
            }
        }
    }

    override fun close() = listener.close()

    private fun serve(socket: Socket) {
        val input = BufferedInputStream(socket.getInputStream())
        val output = socket.getOutputStream()
        var copy = ""
        while (true) {
            val head = readHead(input) ?: return
            val lengthBytes = field(head, "Content-Length")?.toInt() ?: 0
            val own = answer(UpstreamRequest(head, String(input.readNBytes(lengthBytes))))
            output.write((copy + own).toByteArray())
            output.flush()
            copy = own
        }
    }

    private fun readHead(input: InputStream): String? {
        val text = StringBuilder()
        while (!text.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return null
            text.append(byte.toChar())
        }
        return text.toString()
    }

    companion object {
        private const val BACKLOG = 64

        fun field(
            head: String,
            name: String,
        ): String? =
            head
                .lines()
                .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
                ?.substringAfter(':')
                ?.trim()

        /** Returns the bytes of an answer with a length; [fields] are complete header lines. */
        fun wire(
            status: Int,
            body: String,
            vararg fields: String,
        ) = "HTTP/1.1 $status Status\r\n" + fields.joinToString("") { "$it\r\n" } +
            "Content-Length: ${body.length}\r\n\r\n$body"
    }
}

/** One request at a [RepeatingUpstream]. */
internal class UpstreamRequest(
    head: String,
    body: String,
) {
    /** The identifier in the head, as plain services get it, or in the body, as engines get it. */
    val id: String = RepeatingUpstream.field(head, "X-Request-Id") ?: idIn(body)

    private fun idIn(body: String): String {
        val match = REQUEST_ID.find(body)
        return match?.groupValues?.get(1).orEmpty()
    }

    private companion object {
        val REQUEST_ID = Regex("\"request_id\":\"([^\"]*)\"")
    }
}
