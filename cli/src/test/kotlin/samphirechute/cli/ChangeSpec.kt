package samphirechute.cli

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.PublishRequest
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ChangeSpec {
    @TempDir
    lateinit var folder: Path

    private val accepted = FakeGateway.ok("""{"outcome":"accepted","revision":5}""")
    private val publishAt = "10.0.0.1:1${ApiPaths.PUBLISH}"
    private val status = """{"instance":"i","failure_domain":"a","incarnation":1,"readiness":"ready","revision":4}"""

    private fun writeService(firstTokenMs: Int = 1) =
        folder.resolve("s.toml").writeText(
            "name = \"s\"\nteam = \"t\"\nmodel = \"m\"\nfirst_token_ms = $firstTokenMs\ndeadline_ms = 9\n",
        )

    private fun publish(
        cli: CliFixture,
        vararg more: String,
    ) = cli.run("publish", "$folder", "--server", "10.0.0.1:1", *more)

    @Nested
    inner class Publish {
        /** Guards against an invalid set that reaches a server. */
        @Test
        fun `files with errors are listed and not sent`() {
            writeService(firstTokenMs = 0)
            val cli = CliFixture()
            assertEquals(ExitCode.FAILED, publish(cli))
            assertTrue("s.toml, line 4, field 'first_token_ms'" in cli.err, cli.err)
            assertEquals(emptyList(), cli.gateway.calls)
            assertEquals(ExitCode.FAILED, CliFixture().run("check", "$folder"))
        }

        /** Guards against a resend that is a second change: with another operation, base revision or set. */
        @Test
        fun `a lost answer is followed by the same request`() {
            writeService()
            val cli = CliFixture()
            cli.gateway.on("10.0.0.1:1${ApiPaths.STATUS}", FakeGateway.ok(status))
            cli.gateway.on(
                publishAt,
                listOf(FakeGateway.lost, FakeGateway.error(503, "no_leader", "not_run"), accepted),
            )
            assertEquals(ExitCode.OK, publish(cli))
            val sent =
                cli.gateway.calls
                    .filter { it.path == ApiPaths.PUBLISH }
                    .map { it.body }
            assertEquals(3, sent.size)
            val request = ApiJson.decodeFromString<PublishRequest>(sent.distinct().single().orEmpty())
            assertEquals(
                listOf("new-id", 4L, 1),
                listOf(request.operationId.value, request.baseRevision, request.services.size),
            )
            assertEquals("revision 5 accepted\n", cli.out)
        }

        /** Guards against the report of a failure, or of a success, that is not known to be one. */
        @Test
        fun `each end has its exit code and text`() {
            writeService()
            val conflict = FakeGateway.ok("""{"outcome":"conflict","revision":6,"winner":"other"}""")
            val own = FakeGateway.ok("""{"outcome":"conflict","revision":6,"winner":"mine"}""")
            val rejected = FakeGateway.ok("""{"outcome":"rejected","revision":4,"message":"too many"}""")
            val rows =
                listOf(
                    listOf(accepted) to (ExitCode.OK to ""),
                    listOf(conflict) to
                        (ExitCode.CONFLICT to "revision 6 was published by operation other; your base was 4"),
                    listOf(FakeGateway.lost, own) to (ExitCode.OK to ""),
                    listOf(rejected) to (ExitCode.FAILED to "too many"),
                    listOf(FakeGateway.refused) to (ExitCode.UNREACHABLE to "could not connect"),
                    listOf(FakeGateway.lost) to (ExitCode.UNKNOWN to "--base 4 --operation-id mine"),
                    listOf(FakeGateway.lost, FakeGateway.refused) to
                        (ExitCode.UNKNOWN to "--base 4 --operation-id mine"),
                    listOf(FakeGateway.lost, FakeGateway.error(401, "d", "not_run")) to (ExitCode.UNKNOWN to "key"),
                    listOf(FakeGateway.error(503, "no_leader", "not_run")) to (ExitCode.REFUSED to "no_leader"),
                    listOf(FakeGateway.error(503, "timeout", "unknown")) to (ExitCode.UNKNOWN to "--operation-id mine"),
                )
            for ((answers, expected) in rows) {
                val cli = CliFixture(FakeGateway().on(publishAt, answers))
                assertEquals(expected.first, publish(cli, "--base", "4", "--operation-id", "mine"), cli.err)
                assertTrue(expected.second in cli.err, "${expected.second} in ${cli.err}")
                assertTrue(cli.sleeps.sum() < 30_000, "retries end in time")
            }
        }

        /** Guards against a publish that is reported as in force while an instance still has the old set. */
        @Test
        fun `waiting ends when all instances that are not dead have the revision`() {
            writeService()

            fun instances(second: Int) =
                FakeGateway.ok(
                    """{"instances":[
                    {"id":"i","failure_domain":"a","address":{"host":"h","port":1},"state":"alive","revision":5},
                    {"id":"j","failure_domain":"a","address":{"host":"h","port":2},"state":"alive","revision":$second},
                    {"id":"k","failure_domain":"a","address":{"host":"h","port":3},"state":"dead","revision":1}]}""",
                )
            for ((last, expected) in listOf(6 to ExitCode.OK, 4 to ExitCode.FAILED)) {
                val cli = CliFixture(FakeGateway().on(publishAt, accepted))
                cli.gateway.on("10.0.0.1:1${ApiPaths.INSTANCES}", listOf(instances(4), instances(last)))
                assertEquals(expected, publish(cli, "--base", "4", "--wait"), cli.err)
                assertTrue("in force at 1 of 2 instances" in cli.err, cli.err)
            }
        }
    }

    @Nested
    inner class Drains {
        /** Guards against the wrong target or direction, and an isolated drain shown as committed. */
        @Test
        fun `the order names the target and the reply tells its reach`() {
            val rows =
                listOf(
                    Triple("drain domain sofia-a", true, "domain sofia-a is out of service\n"),
                    Triple("undrain upstream e", true, "upstream e is in service\n"),
                    Triple(
                        "drain instance i",
                        false,
                        "instance i is out of service where this instance's messages reach",
                    ),
                )
            for ((line, isCommitted, expected) in rows) {
                val reply = FakeGateway.ok("""{"is_committed":$isCommitted}""")
                val cli = CliFixture(FakeGateway().on("10.0.0.1:1${ApiPaths.DRAINS}", reply))
                assertEquals(ExitCode.OK, cli.run(*line.split(' ').toTypedArray(), "--server", "10.0.0.1:1"))
                val (verb, kind, name) = line.split(' ')
                val body = """{"operation_id":"new-id","kind":"$kind","name":"$name","is_drained":${verb == "drain"}}"""
                assertEquals(
                    body,
                    cli.gateway.calls
                        .single()
                        .body,
                )
                assertTrue(cli.out.startsWith(expected), cli.out)
            }
        }
    }
}
