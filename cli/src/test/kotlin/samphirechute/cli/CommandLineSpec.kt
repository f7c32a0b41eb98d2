package samphirechute.cli

import org.junit.jupiter.api.Nested
import samphirechute.core.api.ApiPaths
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CommandLineSpec {
    private val server = arrayOf("--server", "10.0.0.1:1")
    private val names =
        listOf(
            "check",
            "publish",
            "status",
            "services",
            "upstreams",
            "instances",
            "drain",
            "undrain",
            "timeline",
            "send",
        )

    @Nested
    inner class Parsing {
        /** Guards against a wrong command line that is carried out in part, or refused without saying why. */
        @Test
        fun `a wrong command line has exit code 2, says why, and sends nothing`() {
            val rows =
                listOf(
                    "" to "\"COMMAND\" is required",
                    "erase" to "\"erase\" is not a valid value",
                    "check" to "\"DIR...\" is required",
                    "status" to "no server given",
                    "status --server host" to "'host' is not an address",
                    "status --server 10.0.0.1:1 --timeout-ms 0" to "--timeout-ms must be above 0",
                    "status --server 10.0.0.1:1 --key-file /nowhere/key" to "cannot be read",
                    "status --srever 10.0.0.1:1" to "\"--srever\" is not a valid option",
                    "drain zone a --server 10.0.0.1:1" to "\"zone\" is not a valid value",
                    "drain domain --server 10.0.0.1:1" to "\"NAME\" is required",
                    "publish x --base many" to "\"many\" is not a valid value",
                    "timeline --server 10.0.0.1:1 --limit -1" to "--limit must not be below 0",
                    "send --server 10.0.0.1:1 hello" to "\"--service\" is required",
                    "send --server 10.0.0.1:1 --service s --file /nowhere/file" to "cannot be read",
                )
            for ((line, expected) in rows) {
                val cli = CliFixture()
                assertEquals(ExitCode.USAGE, cli.run(*line.split(' ').filter { it.isNotEmpty() }.toTypedArray()), line)
                assertTrue(expected in cli.err, "$line gives ${cli.err}")
                assertEquals(emptyList(), cli.gateway.calls, line)
            }
        }

        /** Guards against a command without help, and help that needs the required arguments. */
        @Test
        fun `each command explains itself with examples`() {
            for (name in names) {
                val cli = CliFixture()
                assertEquals(ExitCode.OK, cli.run(name, "--help"), name)
                assertTrue(
                    "Usage: samphirectl $name" in cli.out && "\nExamples:\n  samphirectl $name " in cli.out,
                    cli.out,
                )
            }
            val overview = CliFixture().also { it.run("--help") }.out
            assertEquals(emptyList(), names.filter { "\n  $it " !in overview })
        }
    }

    @Nested
    inner class ExitCodes {
        /** Guards against renumbered codes, which the scripts of operators test for. */
        @Test
        fun `the numbers stay`() {
            val expected = "OK FAILED USAGE UNREACHABLE DENIED CONFLICT UNKNOWN REFUSED".split(' ')
            assertEquals(expected, ExitCode.entries.sortedBy { it.code }.map { it.name })
            assertEquals(expected.indices.toList(), ExitCode.entries.map { it.code })
        }

        /** Guards against a failure that programs take for another one. */
        @Test
        fun `each kind of answer has its own code`() {
            val status = """{"instance":"i","failure_domain":"a","incarnation":1,"readiness":"ready","revision":4}"""
            val rows =
                listOf(
                    FakeGateway.ok(status) to ExitCode.OK,
                    FakeGateway.ok("<html>") to ExitCode.FAILED,
                    FakeGateway.ok("{}") to ExitCode.FAILED,
                    FakeGateway.refused to ExitCode.UNREACHABLE,
                    FakeGateway.error(401, "denied", "not_run") to ExitCode.DENIED,
                    FakeGateway.error(403, "denied", "not_run") to ExitCode.DENIED,
                    FakeGateway.error(404, "not_found", "not_run") to ExitCode.REFUSED,
                    FakeGateway.error(503, "starting", "not_run") to ExitCode.REFUSED,
                )
            for ((answer, expected) in rows) {
                val cli = CliFixture(FakeGateway().on("10.0.0.1:1${ApiPaths.STATUS}", answer))
                assertEquals(expected, cli.run("status", *server), cli.err)
            }
        }
    }
}
