package samphirechute.testkit

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import samphirechute.core.HostPort
import samphirechute.core.RequestId
import samphirechute.core.engine.Announcement
import samphirechute.core.engine.TokenLine
import samphirechute.net.ClientFailure
import samphirechute.net.ClientRequest
import samphirechute.net.ClientResponse
import samphirechute.net.EventLoop
import samphirechute.net.HttpClient
import samphirechute.net.HttpServer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class StandInSpec {
    private val loop = EventLoop("test")
    private val client = HttpClient(loop)
    private val options =
        StandInOptions().apply {
            id = "u1"
            failureDomain = "a"
            listen = "127.0.0.1:0"
            pools = "m"
            decodeStepMs = 0.1
            lateMs = 300
        }

    @AfterTest
    fun close() = loop.close()

    private fun call(
        address: HostPort,
        path: String,
        body: String = "{}",
        timeoutMs: Long = DEADLINE_MS,
    ): Result<ClientResponse, ClientFailure> {
        val future = CompletableFuture<Result<ClientResponse, ClientFailure>>()
        val request =
            ClientRequest(
                address,
                "POST",
                path,
                body.encodeToByteArray(),
                headers = mapOf("X-Request-Id" to "r1"),
                useFreshConnection = true,
            )
        loop.post { client.call(request, timeoutMs) { future.complete(it) } }
        return future.get(DEADLINE_MS, TimeUnit.MILLISECONDS)
    }

    private fun Result<ClientResponse, ClientFailure>.text() = checkNotNull(get()).body.decodeToString()

    private fun generate(id: String) =
        """{"request_id":"$id","attempt":1,"model":"m","prompt":"hello","prompt_tokens":2,"max_tokens":8,"deadline_ms":9000}"""

    private fun tokens(result: Result<ClientResponse, ClientFailure>) =
        result
            .text()
            .trim()
            .lines()
            .map { Json.decodeFromString(TokenLine.serializer(), it) }

    private fun token(
        id: String,
        offset: Long,
    ) = TokenLine(id, offset, DeterministicAnswer.token(RequestId(id), offset))

    @Nested
    inner class Engine {
        private val address = StandInEngine(options, loop, client, null).start()

        /** Guards against a stand-in whose answers cannot be checked token by token. */
        @Test
        fun `streams one line for each token and a last line`() {
            val expected = (0L until 8).map { token("r1", it) } + TokenLine("r1", done = true, totalTokens = 8)
            assertEquals(expected, tokens(call(address, "/v1/generate", generate("r1"))))
        }

        /** Guards against faults that show nothing, so that tests with them would prove nothing. */
        @Test
        fun `shows each fault that is switched on`() {
            call(address, "/control/fault?kind=refuse")
            val refused = checkNotNull(call(address, "/v1/generate", generate("r2")).get())
            assertEquals(
                429 to """{"request_id":"r2","code":"refusing"}""",
                refused.status to refused.body.decodeToString(),
            )
            call(address, "/control/fault?kind=none")

            call(address, "/control/fault?kind=crossed")
            assertEquals(token("r3-other", 0), tokens(call(address, "/v1/generate", generate("r3"))).first())
            call(address, "/control/fault?kind=crossed&on=false")

            call(address, "/control/fault?kind=garbage")
            assertEquals("}not json", call(address, "/v1/generate", generate("r4")).text().lines().first())
            call(address, "/control/fault?kind=none")

            call(address, "/control/fault?kind=close")
            assertIs<ClientFailure.Closed>(call(address, "/v1/generate", generate("r5")).getError())
            call(address, "/control/fault?kind=none")

            call(address, "/control/fault?kind=silent")
            assertIs<ClientFailure.TimedOut>(call(address, "/v1/generate", generate("r6"), SILENT_MS).getError())
            call(address, "/control/fault?kind=none")

            call(address, "/control/fault?kind=late")
            assertIs<ClientFailure.TimedOut>(call(address, "/v1/generate", generate("r7"), SILENT_MS).getError())
            call(address, "/control/fault?kind=none")

            call(address, "/control/fault?kind=die")
            assertIs<ClientFailure.ConnectFailed>(call(address, "/v1/generate", generate("r8")).getError())
        }
    }

    @Nested
    inner class EngineMemoryAndOrders {
        private val address = StandInEngine(options.apply { checksFencing = true }, loop, client, null).start()

        private fun status(
            path: String,
            body: String,
        ) = call(address, path, body).get()?.status

        /** Guards against lent memory without a limit, and against orders of a leader that was replaced. */
        @Test
        fun `refuses memory that it does not have and orders with an old fencing number`() {
            val rows =
                listOf(
                    Triple("/v1/kv/import", """{"request_id":"g1","tokens":300000}""", 200),
                    Triple("/v1/kv/import", """{"request_id":"g2","tokens":300000}""", 409),
                    Triple("/v1/kv/release", """{"request_id":"g1"}""", 200),
                    Triple("/v1/kv/import", """{"request_id":"g2","tokens":300000}""", 200),
                    Triple("/v1/orders", """{"operation_id":"o1","fencing_number":5,"order":{}}""", 200),
                    Triple("/v1/orders", """{"operation_id":"o2","fencing_number":4,"order":{}}""", 409),
                )
            for ((path, body, expected) in rows) assertEquals(expected, status(path, body), "$path $body")
            val executed = """[{"operation_id":"o1","fencing_number":5,"order":{}}]"""
            assertEquals(executed, call(address, "/control/orders").text())
        }
    }

    @Nested
    inner class Leaving {
        /** Guards against a leaving upstream that says so only with its next regular announcement, or takes new work. */
        @Test
        fun `is announced at once, and new requests are refused`() {
            val announced = CompletableFuture<Announcement>()
            val instance =
                HttpServer(loop) { exchange ->
                    val body = exchange.request.body.decodeToString()
                    val announcement = Json.decodeFromString(Announcement.serializer(), body)
                    if (announcement.leaving) announced.complete(announcement)
                    exchange.respondJson(200, "{}")
                }
            options.announce = instance.bind(HostPort("127.0.0.1", 0)).toString()
            val address = StandInEngine(options, loop, client, null).start()
            call(address, "/control/leave")
            assertEquals("u1", announced.get(DEADLINE_MS, TimeUnit.MILLISECONDS).upstream)
            assertEquals(503, call(address, "/v1/generate", generate("r1")).get()?.status)
        }
    }

    @Nested
    inner class Application {
        private val address = StandInApplication(options, loop, client, null).start()

        private fun count() = call(address, "/control/count?request=r1").text()

        /** Guards against duplicates that stay invisible, and against a refusal that ran. */
        @Test
        fun `counts each execution, also those whose answer is lost, and none that it refused`() {
            call(address, "/control/fault?kind=refuse")
            assertEquals(503, call(address, "/order").get()?.status)
            assertEquals("""{"count":0}""", count())
            call(address, "/control/fault?kind=none")
            assertEquals(200, call(address, "/order").get()?.status)
            call(address, "/control/fault?kind=close")
            assertIs<ClientFailure.Closed>(call(address, "/order").getError())
            assertEquals("""{"count":2}""", count())
        }
    }

    private companion object {
        const val DEADLINE_MS = 10_000L
        const val SILENT_MS = 200L
    }
}
