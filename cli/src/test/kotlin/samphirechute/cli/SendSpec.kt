package samphirechute.cli

import org.junit.jupiter.api.Nested
import samphirechute.core.api.ApiHeaders
import samphirechute.core.api.ApiPaths
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SendSpec {
    private val send = arrayOf("send", "--server", "10.0.0.1:1,10.0.0.2:1", "--service", "s")
    private val first = "10.0.0.1:1${ApiPaths.COMPLETIONS}"
    private val second = "10.0.0.2:1${ApiPaths.COMPLETIONS}"
    private val events =
        listOf("{\"text\":\"Капак \"}", "{\"delta\":{\"content\":\"ok\"}}")
            .joinToString("") { "data: {\"choices\":[$it]}\n\n" }
    private val whole = FakeGateway.stream("$events data\n\ndata: [DONE]\n\n")
    private val broken = """data: {"error":{"code":"lost","message":"m","run_state":"unknown"}}"""

    @Nested
    inner class Prompts {
        /** Guards against text that is lost, changed or printed twice on its way from the stream to the screen. */
        @Test
        fun `a streamed answer is printed as text`() {
            val cli = CliFixture(FakeGateway().on(first, whole))
            assertEquals(ExitCode.OK, cli.run(*send, "--deadline-ms", "700", "--idempotency-key", "k", "say \"x\""))
            assertEquals("Капак ok\n", cli.out)
            val call = cli.gateway.calls.single()
            assertEquals("""{"prompt":"say \"x\"","max_tokens":256,"stream":true}""", call.body)
            val headers =
                mapOf(
                    ApiHeaders.IDEMPOTENCY_KEY to "k",
                    ApiHeaders.SERVICE to "s",
                    ApiHeaders.DEADLINE_MS to "700",
                )
            assertEquals(headers, call.headers)
        }

        /** Guards against a prompt that is taken from the wrong place. */
        @Test
        fun `the prompt comes from standard input when nothing else is given`() {
            val cli = CliFixture(FakeGateway().on(first, whole), input = "long text")
            cli.run(*send)
            assertTrue(
                "\"prompt\":\"long text\"" in
                    cli.gateway.calls
                        .single()
                        .body
                        .orEmpty(),
            )
        }

        /** Guards against a request that ran, or may have run, reported as not run, and the other way round. */
        @Test
        fun `each end has its exit code`() {
            val rows =
                listOf(
                    FakeGateway.stream(events) to ExitCode.UNKNOWN,
                    FakeGateway.stream("$events$broken\n\n") to ExitCode.UNKNOWN,
                    FakeGateway.ok("""{"choices":[{"text":"whole"}]}""") to ExitCode.OK,
                    FakeGateway.error(200, "answer_not_kept", "ran") to ExitCode.FAILED,
                    FakeGateway.error(409, "outcome_unknown", "unknown") to ExitCode.UNKNOWN,
                    FakeGateway.error(503, "overloaded", "not_run") to ExitCode.REFUSED,
                    FakeGateway.lost to ExitCode.UNKNOWN,
                    FakeGateway.refused to ExitCode.UNREACHABLE,
                )
            for ((answer, expected) in rows) {
                assertEquals(expected, CliFixture(FakeGateway().on(first, answer)).run(*send, "x"), "$answer")
            }
        }
    }

    @Nested
    inner class Resends {
        /** Guards against a second server that is asked under another identifier, which would run an order twice. */
        @Test
        fun `the next server gets the same request`() {
            val cli = CliFixture(FakeGateway().on(first, FakeGateway.lost).on(second, whole))
            assertEquals(ExitCode.OK, cli.run(*send, "x"))
            val keys = cli.gateway.calls.map { it.headers[ApiHeaders.IDEMPOTENCY_KEY] }
            assertEquals(listOf<String?>("new-id", "new-id"), keys)
        }

        /** Guards against a refusal that is passed from server to server, which multiplies an overload. */
        @Test
        fun `a refusal is final`() {
            val cli = CliFixture(FakeGateway().on(first, FakeGateway.error(503, "overloaded", "not_run")))
            cli.run(*send, "x")
            assertEquals(1, cli.gateway.calls.size)
        }
    }

    @Nested
    inner class Applications {
        /** Guards against an order that is sent as a prompt, or to another path. */
        @Test
        fun `the body goes unchanged to the path of the service`() {
            val place = "10.0.0.1:1/v1/services/s/pallets/7"
            val cli = CliFixture(FakeGateway().on(place, FakeGateway.ok("""{"order":17}""")))
            assertEquals(ExitCode.OK, cli.run(*send, "--path", "/pallets/7", "--method", "PUT", "{\"n\":2}"))
            val call = cli.gateway.calls.single()
            assertEquals("PUT" to "{\"n\":2}", call.method to call.body)
            assertEquals("{\"order\":17}\n", cli.out)
        }
    }
}
