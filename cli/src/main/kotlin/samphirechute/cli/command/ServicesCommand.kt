package samphirechute.cli.command

import samphirechute.cli.output.Table
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.ServiceView
import samphirechute.core.api.ServicesView

/** Lists the services in force, with the number of upstreams over all failure domains. */
internal class ServicesCommand : CoordinatorViewCommand<ServicesView>() {
    override val summary = "list the services in force"
    override val examples = listOf("services --server 127.0.0.1:7101", "services --json")
    override val path = ApiPaths.SERVICES

    override fun read(body: String) = decode<ServicesView>(body)

    /** The set is that of the highest revision; upstreams count in every failure domain that has the same service. */
    override fun merge(views: List<ServicesView>): ServicesView {
        val newest = views.maxByOrNull { it.revision } ?: return ServicesView(0, emptyList())
        val services =
            newest.services.sortedBy { it.spec.name }.map { service ->
                val same = views.flatMap { it.services }.filter { it.spec.name == service.spec.name }
                ServiceView(service.spec, same.sumOf { it.upstreams }, same.sumOf { it.warmUpstreams })
            }
        return ServicesView(newest.revision, services)
    }

    override fun json(view: ServicesView) = ApiJson.encodeToString(view)

    override fun text(view: ServicesView): String {
        val table =
            Table("SERVICE", "TEAM", "POOL", "MODE", "URGENCY", "FIRST TOKEN MS", "DEADLINE MS", "SHARE", "WARM/ALL")
        view.services.forEach {
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
