package samphirechute.net

import com.github.michaelbull.result.get
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import org.junit.jupiter.api.Nested
import samphirechute.core.HostPort
import samphirechute.core.time.VirtualTimer
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/**
 * Responses without a length that begin while the request is still being written. If the server then resets the connection,
 * the write of the request may fail before the reset is read, and the part that had arrived was taken for the whole body.
 */
class ResetBodySpec {
    /** A server that reads [readBytes] of a request, sends part of a body without a length and ends the connection. */
    private class EndingServer(
        private val readBytes: Int,
        private val end: (Socket) -> Unit,
    ) : AutoCloseable {
        /** The small buffer makes the client wait to write, so that it meets the reset in a write. */
        private val listener =
            ServerSocket().apply {
                receiveBufferSize = RECEIVE_BUFFER_BYTES
                bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), BACKLOG)
            }
        val address = HostPort("127.0.0.1", listener.localPort)

        init {
            thread(isDaemon = true) {
                while (true) {
                    val socket = runCatching { listener.accept() }.getOrNull() ?: break
                    runCatching { serve(socket) }
                }
            }
        }

        private fun serve(socket: Socket) {
            socket.tcpNoDelay = true
            socket.getInputStream().readNBytes(readBytes)
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\nServer: ending\r\n\r\n$PART".toByteArray())
            end(socket)
        }

        override fun close() = listener.close()
    }

    private fun reset(socket: Socket) {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Returns the bodies of the responses that the client took for complete, null for each failure. */
    private fun bodies(
        uploadBytes: Int,
        readBytes: Int,
        end: (Socket) -> Unit,
    ): List<String?> =
        EndingServer(readBytes, end).use { server ->
            LoopbackFixture { }.use { fixture ->
                List(CALLS) {
                    val request = ClientRequest(server.address, "POST", "/", ByteArray(uploadBytes))
                    fixture
                        .call(request)
                        .get()
                        ?.body
                        ?.decodeToString()
                }
            }
        }

    @Nested
    inner class Reset {
        @Test
        fun `while the request is being written, they are no complete responses`() =
            assertEquals(List(CALLS) { null }, bodies(LARGE_BYTES, readBytes = 100, ::reset))

        @Test
        fun `some time after their beginning, they are no complete responses`() =
            assertEquals(
                List(CALLS) { null },
                bodies(LARGE_BYTES, readBytes = 100) { socket ->
                    // Reads on, so that the client has read the part and writes when the reset comes.
                    socket.getInputStream().readNBytes(READ_ON_BYTES)
                    reset(socket)
                },
            )

        @Test
        fun `after the whole request, they are no complete responses`() =
            bodies(uploadBytes = 10, readBytes = 40, ::reset).forEach { assertNull(it) }
    }

    @Nested
    inner class FailedWrite {
        /** The order of events that the sockets of a test do not bring about reliably: the write meets the reset first. */
        @Test
        fun `ends them as failed, although the reset itself is never read`() {
            val ends = mutableListOf<String>()
            val listener =
                object : ResponseListener {
                    override fun onEnd() {
                        ends += "complete"
                    }

                    override fun onFailure(failure: ClientFailure) {
                        ends += "failed"
                    }
                }
            val address = HostPort("127.0.0.1", 1)
            val decoder = ClientDecoder(MAX_HEAD_BYTES, MAX_HEAD_BYTES)
            val connection = ClientConnection(address, ConnectionPool(VirtualTimer(startMs = 0), MAX_IDLE_MS), decoder)
            val channel = EmbeddedChannel(connection.unaskedBytes, decoder, HttpRequestEncoder(), connection)
            ActiveCall(ClientRequest(address, "POST", "/", ByteArray(LARGE_BYTES)), listener).start(channel)
            channel.writeInbound(Unpooled.wrappedBuffer("HTTP/1.1 200 OK\r\n\r\n$PART".toByteArray()))
            // A write that fails closes the channel.
            channel.close()
            assertEquals(listOf("failed"), ends)
            channel.finishAndReleaseAll()
        }
    }

    @Nested
    inner class Closed {
        @Test
        fun `in the ordinary way, they are complete`() =
            assertEquals(
                List(CALLS) { PART },
                bodies(LARGE_BYTES, readBytes = 100) { socket ->
                    socket.shutdownOutput()
                    // What the client still sends is read, since unread bytes would turn the close into a reset.
                    socket.getInputStream().readAllBytes()
                    socket.close()
                },
            )
    }

    private companion object {
        const val BACKLOG = 16
        const val MAX_HEAD_BYTES = 32 * 1024
        const val MAX_IDLE_MS = 1_000L
        const val CALLS = 8
        const val RECEIVE_BUFFER_BYTES = 8_192
        const val LARGE_BYTES = 12_000_000
        const val READ_ON_BYTES = 1_000_000
        const val PART = "the first part of a response"
    }
}
