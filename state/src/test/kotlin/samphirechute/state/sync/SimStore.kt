package samphirechute.state.sync

import samphirechute.core.OperationId
import samphirechute.core.PoolName
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.core.service.ServiceSpec
import samphirechute.core.service.ServiceTarget
import samphirechute.state.command.Command
import samphirechute.state.command.DrainTarget
import samphirechute.state.drain.DrainRecord
import samphirechute.state.drain.OverlayEntry
import kotlin.random.Random

/**
 * The committed state of the store without the log. Each command is committed once; when it is sent again, it gets its
 * first answer.
 */
class SimStore(
    private val random: Random,
) {
    val history = mutableMapOf<Long, Set<ServiceSpec>>(0L to emptySet())
    var configuration = Configuration()
        private set
    var drains = DrainRecord()
        private set
    private val records = mutableMapOf(0L to drains)
    private val versions = mutableMapOf<OperationId, Long>()

    fun publish() {
        val services = configuration.services.associateByTo(LinkedHashMap()) { it.name }
        repeat(random.nextInt(1, 4)) {
            val name = ServiceName("service-${random.nextInt(SERVICES)}")
            if (random.nextInt(4) == 0) services -= name else services[name] = service(name)
        }
        configuration = Configuration(configuration.revision + 1, services.values.toList())
        history[configuration.revision] = services.values.toSet()
    }

    fun apply(command: Command.SetDrain): Long =
        versions.getOrPut(command.operationId) {
            val targets = if (command.isDrained) drains.targets + command.target else drains.targets - command.target
            drains = DrainRecord(drains.version + 1, targets)
            records[drains.version] = drains
            drains.version
        }

    /** Whether an instance that knows record [version] and [entries] may consider [target] in service. */
    fun mayBeInService(
        target: DrainTarget,
        version: Long,
        entries: Collection<OverlayEntry>,
    ): Boolean {
        val areCommitted =
            entries.filter { it.target == target }.all {
                (versions[it.operationId] ?: version + 1) <=
                    version
            }
        return areCommitted && records[version]?.let { target !in it.targets } == true
    }

    private fun service(name: ServiceName) =
        ServiceSpec(
            name = name,
            team = TeamName("team-${name.value}"),
            target = ServiceTarget.Model(PoolName("model")),
            firstTokenMs = random.nextLong(1, 10_000),
            deadlineMs = 60_000,
        )

    private companion object {
        const val SERVICES = 12
    }
}
