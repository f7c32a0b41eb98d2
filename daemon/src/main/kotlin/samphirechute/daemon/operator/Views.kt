package samphirechute.daemon.operator

import samphirechute.core.api.DomainView
import samphirechute.core.api.DrainKind
import samphirechute.core.api.DrainView
import samphirechute.core.api.InstanceState
import samphirechute.core.api.InstanceView
import samphirechute.core.api.InstancesView
import samphirechute.core.api.ServiceView
import samphirechute.core.api.ServicesView
import samphirechute.core.api.StatusView
import samphirechute.core.api.StoreView
import samphirechute.core.api.UpstreamLimitsView
import samphirechute.core.api.UpstreamLoadView
import samphirechute.core.api.UpstreamState
import samphirechute.core.api.UpstreamView
import samphirechute.core.api.UpstreamsView
import samphirechute.daemon.Lifecycle
import samphirechute.daemon.Runtime
import samphirechute.daemon.controller.CoordinatorController
import samphirechute.daemon.controller.StoreController
import samphirechute.daemon.controller.SyncController
import samphirechute.state.command.DrainTarget
import samphirechute.state.sync.MemberHealth
import samphirechute.routing.ledger.UpstreamView as LedgerView

/** What this instance knows of the system, in the form of the operator API. */
internal class Views(
    private val runtime: Runtime,
    private val lifecycle: Lifecycle,
    private val sync: SyncController,
    private val coordinator: CoordinatorController,
    private val store: StoreController?,
) {
    private val settings = runtime.settings

    fun status() =
        StatusView(
            instance = settings.instance,
            failureDomain = settings.failureDomain,
            incarnation = runtime.incarnation,
            readiness = lifecycle.readiness,
            reason = lifecycle.notReadyReason(),
            revision = sync.configuration.revision,
            domains = domains(),
            store = store?.view() ?: StoreView(),
            drains = drains(),
        )

    fun services(): ServicesView {
        val pools =
            coordinator
                .views()
                .flatMap { view ->
                    view.pools.map { it to view }
                }.groupBy({ it.first }, { it.second })
        val services =
            sync.configuration.services.map { spec ->
                val upstreams = pools[spec.target.pool.value].orEmpty()
                ServiceView(spec, upstreams.size, upstreams.count { !it.isCold })
            }
        return ServicesView(sync.configuration.revision, services)
    }

    /** The upstreams of the own failure domain; complete at its coordinator only. */
    fun upstreams() = UpstreamsView(coordinator.views().mapNotNull(::upstream))

    fun instances(): InstancesView {
        val members = sync.members.associateBy { it.instance }
        val known = (settings.peers + settings.self).distinctBy { it.instance }.sortedBy { it.instance }
        return InstancesView(
            known.map { peer ->
                val isSelf = peer.instance == settings.instance
                val member = members[peer.instance]
                InstanceView(
                    peer.instance,
                    peer.failureDomain,
                    peer.address,
                    if (isSelf) InstanceState.ALIVE else member?.let { state(it.health) } ?: InstanceState.UNKNOWN,
                    if (isSelf) sync.configuration.revision else member?.revision ?: 0,
                    if (isSelf) runtime.incarnation else member?.incarnation ?: 0,
                    peer.isStore,
                )
            },
        )
    }

    private fun state(health: MemberHealth) =
        when (health) {
            MemberHealth.ALIVE -> InstanceState.ALIVE
            MemberHealth.SUSPECTED -> InstanceState.SUSPECTED
            MemberHealth.DEAD -> InstanceState.DEAD
        }

    private fun domains(): List<DomainView> {
        val digests = sync.digests().associateBy { it.failureDomain }
        val own = coordinator.holder
        return (settings.peers + settings.self).map { it.failureDomain }.distinct().sorted().map { domain ->
            when {
                domain == settings.failureDomain && own != null -> DomainView(domain, own.instance, own.epoch)
                else -> DomainView(domain, digests[domain]?.coordinator, digests[domain]?.epoch ?: 0)
            }
        }
    }

    private fun drains(): List<DrainView> {
        val pending = sync.pendingDrains.map { it.target }.toSet()
        return sync.drainedTargets.map { it.toView(isCommitted = it !in pending) }
    }

    private fun upstream(view: LedgerView): UpstreamView? {
        val report = coordinator.latestReport(view.upstream) ?: return null
        return UpstreamView(
            id = view.upstream,
            failureDomain = report.failureDomain,
            address = report.address,
            pools = report.pools.toList(),
            generation = view.generation,
            state = state(view),
            load = UpstreamLoadView(view.running, report.load.queuedPrefillTokens, view.usedMemoryTokens),
            limits =
                UpstreamLimitsView(
                    concurrency = view.concurrencyLimit,
                    memoryTokens = view.usedMemoryTokens + view.freeMemoryTokens,
                ),
        )
    }

    private fun state(view: LedgerView) =
        when {
            view.isDrained -> UpstreamState.DRAINED
            view.isLeaving -> UpstreamState.LEAVING
            view.isCold -> UpstreamState.COLD
            else -> UpstreamState.WARM
        }
}

private fun DrainTarget.toView(isCommitted: Boolean) =
    when (this) {
        is DrainTarget.Instance -> DrainView(DrainKind.INSTANCE, instance.value, isCommitted)
        is DrainTarget.Upstream -> DrainView(DrainKind.UPSTREAM, upstream.value, isCommitted)
        is DrainTarget.Domain -> DrainView(DrainKind.DOMAIN, failureDomain.value, isCommitted)
    }
