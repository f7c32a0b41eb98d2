package samphirechute.cli.command

import com.github.michaelbull.result.map
import samphirechute.cli.output.Table
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.ServicesView

/** Lists the services in force. */
internal class ServicesCommand : ViewCommand() {
    override val summary = "list the services in force"
    override val examples = listOf("services --server 127.0.0.1:7101", "services --json")
    override val path = ApiPaths.SERVICES

    override fun render(body: String) = decode<ServicesView>(body).map(::text)

    private fun text(view: ServicesView): String {
        val table =
            Table("SERVICE", "TEAM", "POOL", "MODE", "URGENCY", "FIRST TOKEN MS", "DEADLINE MS", "SHARE", "WARM/ALL")
        view.services.sortedBy { it.spec.name }.forEach {
            val spec = it.spec
            table.row(
                spec.name,
                spec.team,
                spec.target.pool,
                spec.mode.name.lowercase(),
                spec.urgency.name.lowercase(),
                spec.firstTokenMs,
                spec.deadlineMs,
                spec.share,
                "${it.warmUpstreams}/${it.upstreams}",
            )
        }
        return "revision ${view.revision}\n$table"
    }
}
