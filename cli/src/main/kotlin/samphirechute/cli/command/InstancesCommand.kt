package samphirechute.cli.command

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import samphirechute.cli.CliContext
import samphirechute.cli.CliError
import samphirechute.cli.output.Table
import samphirechute.core.api.ApiJson
import samphirechute.core.api.InstancesView

/** Lists the instances of all failure domains with the revision each has in force. */
internal class InstancesCommand : ServerCommand() {
    override val summary = "list the instances with state and revision"
    override val examples = listOf("instances --server 127.0.0.1:7101", "instances --json")

    override fun run(context: CliContext): Result<Unit, CliError> =
        fleet(context).flatMap { it.instances() }.map { instances ->
            val view = InstancesView(instances.sortedWith(compareBy({ it.failureDomain }, { it.id })))
            context.out.println(if (isJson) ApiJson.encodeToString(view) else text(view))
        }

    private fun text(view: InstancesView): String {
        val table = Table("INSTANCE", "DOMAIN", "ADDRESS", "STATE", "REVISION", "INCARNATION", "STORE")
        view.instances.forEach {
            val state = it.state.name.lowercase()
            val store = if (it.isStore) "yes" else "no"
            table.row(it.id, it.failureDomain, it.address, state, it.revision, it.incarnation, store)
        }
        return table.toString()
    }
}
