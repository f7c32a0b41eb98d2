package samphirechute.net

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import samphirechute.core.HostPort
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** A server that sends a large response to another request before each of its own. */
class SkippedAnswerSpec {
    private fun serve(
        socket: Socket,
        copyBytes: Int,
    ) {
        val lines = socket.getInputStream().bufferedReader()
        while (true) {
            val path = lines.readLine()?.split(' ')?.get(1) ?: return
            generateSequence { lines.readLine() }.takeWhile { it.isNotEmpty() }.forEach { _ -> }
            val copy = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: $copyBytes\r\n\r\n" + "x".repeat(copyBytes)
            val own = "HTTP/1.1 200 OK\r\nId: $path\r\nContent-Length: 0\r\n\r\n"
            socket.getOutputStream().write((copy + own).toByteArray())
        }
    }

    /** Returns the results of [count] calls, each of which gets a copy of [copyBytes] first. */
    private fun call(
        count: Int,
        copyBytes: Int,
    ) = LoopbackFixture(handler = { }).use { fixture ->
        ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { listener ->
            thread(isDaemon = true) {
                while (!listener.isClosed) {
                    val socket = runCatching { listener.accept() }.getOrNull() ?: break
                    runCatching { socket.use { serve(it, copyBytes) } }
                }
            }
            List(count) { number ->
                val address = HostPort("127.0.0.1", listener.localPort)
                fixture.call(ClientRequest(address, "GET", "/$number", isExpectedResponse = { it["Id"] == "/$number" }))
            }
        }
    }

    /** Guards against a limit that counts over the life of a connection, so that a call fails for those before it. */
    @Test
    fun `calls succeed although the copies before them exceed the limit together`() =
        assertEquals(List(4) { 200 }, call(count = 4, copyBytes = 3 * MB).map { it.get()?.status })

    /** Guards against a call that is kept waiting by a response to another request that never ends. */
    @Test
    fun `a call fails when the copies before its response exceed the limit`() {
        assertIs<ClientFailure.Malformed>(call(count = 1, copyBytes = 5 * MB).single().getError())
    }

    private companion object {
        const val MB = 1024 * 1024
    }
}
