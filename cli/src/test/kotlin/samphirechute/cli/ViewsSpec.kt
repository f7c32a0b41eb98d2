package samphirechute.cli

import org.junit.jupiter.api.Nested
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.InstancesView
import samphirechute.core.api.ServicesView
import samphirechute.core.api.UpstreamsView
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ViewsSpec {
    private val status =
        """{"instance":"i","failure_domain":"a","incarnation":1,"readiness":"starting","reason":"no store",
        "revision":4,"domains":[{"failure_domain":"a","coordinator":"i","epoch":7},
        {"failure_domain":"b","coordinator":"j","epoch":8},{"failure_domain":"c","epoch":0}],
        "store":{"leader":"i","term":3},"drains":[{"kind":"domain","name":"b","is_committed":false}]}"""

    private fun instances(
        first: String,
        second: String,
    ) = """{"instances":[
        {"id":"i","failure_domain":"a","address":{"host":"10.0.0.1","port":1},"state":"$first","revision":4,"is_store":true},
        {"id":"j","failure_domain":"b","address":{"host":"10.0.0.2","port":1},"state":"$second","revision":5}]}"""

    private fun services(warm: Int) =
        """{"revision":4,"services":[{"spec":{"name":"s","team":"t","target":{"type":"model","pool":"m"},
        "first_token_ms":1,"deadline_ms":2},"upstreams":3,"warm_upstreams":$warm}]}"""

    private fun upstreams(id: String) =
        """{"upstreams":[{"id":"$id","failure_domain":"a","address":{"host":"10.0.0.9","port":5},"pools":["m","n"],
        "generation":8,"state":"cold","load":{"running_requests":1},
        "limits":{"concurrency":2,"memory_tokens":${Long.MAX_VALUE}}}]}"""

    /** Two failure domains with one instance each; neither knows the other's. */
    private val gateway =
        FakeGateway()
            .on("10.0.0.1:1${ApiPaths.STATUS}", FakeGateway.ok(status))
            .on("10.0.0.1:1${ApiPaths.INSTANCES}", FakeGateway.ok(instances("alive", "unknown")))
            .on("10.0.0.2:1${ApiPaths.INSTANCES}", FakeGateway.ok(instances("unknown", "suspected")))
            .on("10.0.0.1:1${ApiPaths.SERVICES}", FakeGateway.ok(services(warm = 2)))
            .on("10.0.0.2:1${ApiPaths.SERVICES}", FakeGateway.ok(services(warm = 1)))
            .on("10.0.0.1:1${ApiPaths.UPSTREAMS}", FakeGateway.ok(upstreams("u")))
            .on("10.0.0.2:1${ApiPaths.UPSTREAMS}", FakeGateway.ok(upstreams("v")))

    private fun run(vararg arguments: String) =
        CliFixture(gateway).also { assertEquals(ExitCode.OK, it.run(*arguments, "--server", "10.0.0.1:1"), it.err) }

    @Nested
    inner class Tables {
        /** Guards against a view that mixes up what operators act on, or leaves out the other failure domains. */
        @Test
        fun `people get a table over all failure domains`() {
            val rows =
                mapOf(
                    "status" to listOf("readiness *starting .no store.", "a +i +7", "c +- +0", "domain +b +no"),
                    "services" to listOf("revision 4", "s +t +m +answer +normal +1 +2 +1 +3/6"),
                    "upstreams" to listOf("u +a +10.0.0.9:5 +m,n +8 +cold +1/2 +0/- +0/-", "v +a .*"),
                    "instances" to
                        listOf(
                            "i +a +10.0.0.1:1 +alive +4 +0 +yes",
                            "j +b +10.0.0.2:1 +suspected +5 +0 +no",
                        ),
                )
            for ((name, expected) in rows) {
                val cli = run(name)
                for (row in expected) assertTrue(Regex("(?m)^$row$") in cli.out, "$row in\n${cli.out}")
                val isPartial = name == "services" || name == "upstreams"
                assertEquals(isPartial, "no coordinator of failure domain c answered" in cli.err, cli.err)
            }
        }

        /** Guards against output for programs that is mixed with text for people. */
        @Test
        fun `programs get one line of JSON`() {
            val services = ApiJson.decodeFromString<ServicesView>(run("services", "--json").out).services
            val upstreams = ApiJson.decodeFromString<UpstreamsView>(run("upstreams", "--json").out).upstreams
            val instances = ApiJson.decodeFromString<InstancesView>(run("instances", "--json").out).instances
            assertEquals(listOf(6), services.map { it.upstreams })
            assertEquals(listOf("u", "v"), upstreams.map { it.id.value })
            assertEquals(listOf("i", "j"), instances.map { it.id.value })
            assertTrue(run("status", "--json").out.startsWith("{\"instance\":\"i\""))
        }
    }

    @Nested
    inner class Reach {
        /** Guards against a dead server, first in the list, that hides the others, and against a lost key. */
        @Test
        fun `the next server is asked, with the key of the environment`() {
            val environment = mapOf("SAMPHIRECTL_KEY" to "k\n", "SAMPHIRECTL_SERVER" to "10.0.0.7:1, 10.0.0.1:1")
            assertEquals(ExitCode.OK, CliFixture(gateway, environment = environment).run("status"))
            assertEquals(listOf("Bearer k", "Bearer k"), gateway.calls.map { it.headers["Authorization"] })
        }
    }
}
