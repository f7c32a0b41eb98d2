package samphirechute.cli.http

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import samphirechute.cli.CliError
import samphirechute.cli.command.decode
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.InstanceState
import samphirechute.core.api.InstanceView
import samphirechute.core.api.InstancesView
import samphirechute.core.api.StatusView

/**
 * All instances of the system, over every failure domain. One instance knows the members of its own failure domain
 * only, so one instance of each of the others is asked as well.
 */
internal class Fleet(
    private val entry: Servers,
    private val serversAt: (HostPort) -> Servers,
) {
    /** Instances that no reachable instance has seen are [InstanceState.UNKNOWN]. */
    fun instances(): Result<List<InstanceView>, CliError> =
        entry.get(ApiPaths.INSTANCES).flatMap { decode<InstancesView>(it) }.map { first ->
            val found = LinkedHashMap<InstanceId, InstanceView>()
            first.instances.forEach { found[it.id] = it }
            val asked = HashSet<InstanceId>()
            while (true) {
                val next = found.values.firstOrNull { it.state == InstanceState.UNKNOWN && it.id !in asked } ?: break
                asked += next.id
                val seen = ask(next.address, ApiPaths.INSTANCES)?.let { decode<InstancesView>(it).get() }
                seen?.instances.orEmpty().forEach { found.merge(it.id, it, ::better) }
            }
            found.values.toList()
        }

    /** What the coordinator of each failure domain answers at [path]; null where none is known or reached. */
    fun atCoordinators(path: String): Result<Map<FailureDomain, String?>, CliError> =
        entry.get(ApiPaths.STATUS).flatMap { decode<StatusView>(it) }.flatMap { status ->
            instances().map { instances ->
                val addresses = instances.associate { it.id to it.address }
                status.domains.associate { domain ->
                    domain.failureDomain to addresses[domain.coordinator]?.let { ask(it, path) }
                }
            }
        }

    fun ask(
        address: HostPort,
        path: String,
    ): String? = serversAt(address).get(path).get()

    private fun better(
        one: InstanceView,
        other: InstanceView,
    ) = if (one.state == InstanceState.UNKNOWN) other else one
}
