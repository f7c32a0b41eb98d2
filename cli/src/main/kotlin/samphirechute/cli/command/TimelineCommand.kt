package samphirechute.cli.command

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import org.kohsuke.args4j.Option
import samphirechute.cli.CliContext
import samphirechute.cli.CliError
import samphirechute.cli.http.Fleet
import samphirechute.cli.output.MergedTimeline
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.InstanceState
import samphirechute.core.api.InstanceView
import samphirechute.core.api.TimelineView
import java.net.URLEncoder

/** Shows the recent events of all instances in one order. Instances that do not answer are named. */
internal class TimelineCommand : ServerCommand() {
    @Option(name = "--request", metaVar = "ID", usage = "only events of this request")
    var request: String? = null

    @Option(name = "--limit", metaVar = "N", usage = "only the last events; default: 200")
    var limit = 200

    override val summary = "show the recent events of all instances, merged"
    override val examples = listOf("timeline --server 127.0.0.1:7101", "timeline --request order-17 --json")

    override fun run(context: CliContext): Result<Unit, CliError> {
        if (limit < 0) return usage("--limit must not be below 0")
        return fleet(context).flatMap { fleet -> fleet.instances().map { print(collect(it, fleet), context) } }
    }

    private fun collect(
        instances: List<InstanceView>,
        fleet: Fleet,
    ): MergedTimeline {
        val query = request?.let { "?${ApiPaths.REQUEST_PARAMETER}=" + URLEncoder.encode(it, Charsets.UTF_8) }.orEmpty()
        val answers =
            instances.filter { it.state != InstanceState.DEAD }.associate { instance ->
                val body = fleet.ask(instance.address, ApiPaths.TIMELINE + query)
                instance.id to body?.let { decode<TimelineView>(it).get() }
            }
        val missing = answers.filterValues { it == null }.keys.toList()
        val merged = MergedTimeline.merge(answers.values.filterNotNull(), missing)
        return merged.copy(events = merged.events.takeLast(limit))
    }

    private fun print(
        timeline: MergedTimeline,
        context: CliContext,
    ) {
        if (isJson) return context.out.println(ApiJson.encodeToString(timeline))
        timeline.lines().forEach(context.out::println)
        timeline.missing.forEach { context.err.println("instance $it did not answer; its events are missing") }
    }
}
