package samphirechute.cli.command

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import samphirechute.cli.CliContext
import samphirechute.cli.CliError
import samphirechute.cli.output.Table
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.StatusView

/** Shows what one instance knows of the whole system. */
internal class StatusCommand : ServerCommand() {
    override val summary = "show readiness, revision, coordinators, store leader and drains"
    override val examples = listOf("status --server 127.0.0.1:7101", "status --json")

    override fun run(context: CliContext): Result<Unit, CliError> =
        servers(context)
            .flatMap { it.get(ApiPaths.STATUS) }
            .flatMap { decode<StatusView>(it) }
            .map { context.out.println(if (isJson) ApiJson.encodeToString(it) else text(it)) }

    private fun text(view: StatusView): String {
        val reason = view.reason?.let { " ($it)" }.orEmpty()
        val summary =
            Table("FIELD", "VALUE")
                .row("instance", view.instance)
                .row("failure domain", view.failureDomain)
                .row("incarnation", view.incarnation)
                .row("readiness", view.readiness.name.lowercase() + reason)
                .row("revision", view.revision)
                .row("store leader", view.store.leader)
                .row("store term", view.store.term)
        val domains = Table("DOMAIN", "COORDINATOR", "EPOCH")
        view.domains.forEach { domains.row(it.failureDomain, it.coordinator, it.epoch) }
        val drains = Table("DRAINED", "NAME", "COMMITTED")
        view.drains.forEach { drains.row(it.kind.wireName, it.name, if (it.isCommitted) "yes" else "no") }
        return listOfNotNull(summary, domains, drains.takeIf { view.drains.isNotEmpty() }).joinToString("\n\n")
    }
}
