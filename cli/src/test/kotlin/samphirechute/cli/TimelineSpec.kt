package samphirechute.cli

import org.junit.jupiter.api.Nested
import samphirechute.cli.output.MergedTimeline
import samphirechute.core.InstanceId
import samphirechute.core.api.TimelineView
import samphirechute.core.timeline.HybridTimestamp
import samphirechute.core.timeline.TimelineEvent
import kotlin.test.Test
import kotlin.test.assertEquals

class TimelineSpec {
    private fun event(
        instance: String,
        wallMs: Long,
        counter: Int,
        name: String,
    ) = TimelineEvent(HybridTimestamp(wallMs, counter), InstanceId(instance), name)

    @Nested
    inner class Merge {
        /** Guards against an effect that is shown before its cause, and events shown twice. */
        @Test
        fun `events are in order of timestamp, counter and instance, each once`() {
            val a = TimelineView(InstanceId("a"), listOf(event("a", 5, 0, "sent"), event("a", 9, 1, "done")))
            val b = TimelineView(InstanceId("b"), listOf(event("b", 5, 0, "tick"), event("b", 9, 0, "received")))
            val expected = listOf("sent", "tick", "received", "done")
            for (views in listOf(listOf(a, b), listOf(b, a), listOf(a, b, a))) {
                assertEquals(expected, MergedTimeline.merge(views).events.map { it.event })
            }
        }
    }

    @Nested
    inner class Command {
        private fun view(instance: String) =
            FakeGateway.ok(
                """{"instance":"$instance","events":[{"timestamp":{"wall_ms":1000,"counter":0},"instance":"$instance",
                "event":"granted","request_id":"r 1","fields":{"upstream":"u"}}]}""",
            )

        private fun instance(
            id: String,
            port: Int,
            state: String,
        ) = """{"id":"$id","failure_domain":"a","address":{"host":"h","port":$port},"state":"$state","revision":1}"""

        /** Guards against a time line that silently lacks the events of an instance, or asks only one. */
        @Test
        fun `all instances are asked and those that do not answer are named`() {
            val list =
                listOf(
                    instance("i", 1, "alive"),
                    instance("j", 2, "suspected"),
                    instance("k", 3, "dead"),
                    instance("l", 4, "unknown"),
                )
            val gateway = FakeGateway().on("h:1/operator/v1/instances", FakeGateway.ok("""{"instances":$list}"""))
            gateway.on("h:1/operator/v1/timeline?request=r+1", view("i"))
            gateway.on("h:4/operator/v1/instances", FakeGateway.ok("""{"instances":[${instance("l", 4, "alive")}]}"""))
            gateway.on("h:4/operator/v1/timeline?request=r+1", view("l"))
            val cli = CliFixture(gateway)
            assertEquals(ExitCode.OK, cli.run("timeline", "--server", "h:1", "--request", "r 1"))
            val lines = listOf("i", "l").map { "1970-01-01T00:00:01Z  $it  granted request_id=r 1 upstream=u" }
            assertEquals(lines, cli.out.trim().lines())
            assertEquals("instance j did not answer; its events are missing\n", cli.err)
        }
    }
}
