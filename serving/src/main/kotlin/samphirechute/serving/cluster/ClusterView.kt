package samphirechute.serving.cluster

import com.github.michaelbull.result.fold
import samphirechute.core.FailureDomain
import samphirechute.core.ServiceName
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.TimerService
import samphirechute.routing.placing.PlacementTarget
import samphirechute.routing.placing.Placer
import samphirechute.state.store.AdoptedConfig

/**
 * The view that one instance has of the cluster: the configuration in force, the drained failure domains and the
 * records of upstreams. Each change is passed on to the instance's [Placer]. Control and entry instances each own one.
 */
class ClusterView(
    private val reader: ConfigReader,
    private val timer: TimerService,
    private val placer: Placer,
) {
    var config: ServingConfig? = null
        private set
    var drains = DrainedDomains(0, emptySet())
        private set
    private var records = emptyList<UpstreamRecord>()

    val revision: Long get() = config?.revision ?: 0

    /** Returns whether the configuration in force names [service]; true for all while there is none. */
    fun isConfigured(service: ServiceName): Boolean = config?.pools?.any { it.service == service } ?: true

    /** Puts a configuration in force if it is newer than the current one and can be read. */
    fun applyConfig(adopted: AdoptedConfig) {
        if (adopted.revision <= revision) return
        reader.read(adopted.content).fold(::activate) { problem ->
            log.warn("configuration_unreadable", mapOf("revision" to adopted.revision, "problem" to problem))
        }
    }

    fun applyDrains(next: DrainedDomains) {
        if (next.version <= drains.version) return
        log.event("drains_changed", mapOf("version" to next.version, "domains" to next.domains))
        drains = next
        updatePlacer()
    }

    fun applyRecords(next: List<UpstreamRecord>) {
        records = next
        updatePlacer()
    }

    private fun activate(next: ServingConfig) {
        placer.setPools(next.pools)
        updatePlacer()
        log.event(
            "configuration_in_force",
            mapOf("revision" to next.revision, "before" to revision, "routes" to next.routes.size),
        )
        // Set last, so that the configuration is applied again if this fails.
        config = next
    }

    private fun updatePlacer() =
        placer.setUpstreams(records.filter { it.state != UpstreamState.GONE }.map(::toPlacedUpstream))

    private fun toPlacedUpstream(record: UpstreamRecord) =
        PlacementTarget(
            record.id,
            record.service,
            record.address,
            record.failureDomain,
            record.slots,
            isOpen = record.state == UpstreamState.READY && !isDrained(record.failureDomain),
            isSilent = record.isSilent,
            coldUntilMs = if (record.coldRemainingMs > 0) timer.nowMs() + record.coldRemainingMs else 0,
        )

    private fun isDrained(domain: FailureDomain) = domain in drains.domains

    private companion object {
        val log = KeyValueLog("view")
    }
}
