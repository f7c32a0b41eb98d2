package samphirechute.cli.command

import com.github.michaelbull.result.map
import samphirechute.cli.output.Table
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.InstancesView

/** Lists the instances with the revision each has in force. */
internal class InstancesCommand : ViewCommand() {
    override val summary = "list the instances with state and revision"
    override val examples = listOf("instances --server 127.0.0.1:7101", "instances --json")
    override val path = ApiPaths.INSTANCES

    override fun render(body: String) = decode<InstancesView>(body).map(::text)

    private fun text(view: InstancesView): String {
        val table = Table("INSTANCE", "DOMAIN", "ADDRESS", "STATE", "REVISION", "INCARNATION", "STORE")
        view.instances.sortedWith(compareBy({ it.failureDomain }, { it.id })).forEach {
            val state = it.state.name.lowercase()
            val store = if (it.isStore) "yes" else "no"
            table.row(it.id, it.failureDomain, it.address, state, it.revision, it.incarnation, store)
        }
        return table.toString()
    }
}
