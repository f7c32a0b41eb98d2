package samphirechute.net

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * A call on a connection that carried one before: the server writes [wire] instead of one answer to it, in one piece or
 * as [laterWire] says in two, and closes the connection if [closes].
 */
internal class CopyScript(
    private val wire: String,
    private val laterWire: String = "",
    private val closes: Boolean = false,
) {
    class Outcome(
        val result: Result<ClientResponse, ClientFailure>,
    ) {
        val response: ClientResponse? get() = result.get()

        /** The status and the body of a success, or the kind of failure. */
        override fun toString() =
            response?.let { "${it.status} ${String(it.body)}" } ?: result.getError()!!::class.simpleName.orEmpty()
    }

    /** Calls the server with [method], after a call with [before], and returns what came of it. */
    fun call(
        method: String = "GET",
        before: String = "GET",
    ): Outcome =
        EventLoop("test").use { loop ->
            RawServer { _, output ->
                { request ->
                    val isOwn = request.id == "own"
                    output.write((if (isOwn) wire else FIRST).toByteArray())
                    if (isOwn && laterWire.isNotEmpty()) {
                        Thread.sleep(PAUSE_MS)
                        output.write(laterWire.toByteArray())
                    }
                    !isOwn || !closes
                }
            }.use { server ->
                val client = HttpClient(loop)

                fun send(
                    method: String,
                    id: String,
                    timeoutMs: Long,
                ) = CompletableFuture<Outcome>()
                    .also { future ->
                        val request =
                            ClientRequest(
                                server.address,
                                method,
                                "/",
                                headers = mapOf("Id" to id),
                                isExpectedResponse = { it["Id"] == id },
                                idIn = { it["Id"] },
                            )
                        loop.post { client.call(request, timeoutMs) { future.complete(Outcome(it)) } }
                    }.get(DEADLINE_MS, TimeUnit.MILLISECONDS)
                check(send(before, "copy", DEADLINE_MS).response?.status == 200)
                send(method, "own", TIMEOUT_MS)
            }
        }

    private companion object {
        const val FIRST = "HTTP/1.1 200 OK\r\nId: copy\r\nContent-Length: 0\r\n\r\n"
        const val PAUSE_MS = 20L
        const val TIMEOUT_MS = 500L
        const val DEADLINE_MS = 10_000L
    }
}
