package samphirechute.daemon.controller

import com.github.michaelbull.result.fold
import kotlinx.serialization.json.JsonElement
import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.core.service.ServiceSpec
import samphirechute.core.settings.PeerSettings
import samphirechute.daemon.Runtime
import samphirechute.daemon.peer.PeerRoutes
import samphirechute.daemon.peer.ReportsMessage
import samphirechute.net.peer.PeerClient
import samphirechute.state.command.Command
import samphirechute.state.command.DrainTarget
import samphirechute.state.drain.DrainOutput
import samphirechute.state.sync.Configuration
import samphirechute.state.sync.DomainDigest
import samphirechute.state.sync.SyncInput
import samphirechute.state.sync.SyncMessage
import samphirechute.state.sync.SyncNode
import samphirechute.state.sync.SyncOutput
import samphirechute.state.sync.SyncPeer
import samphirechute.state.sync.SyncSettings
import kotlin.random.Random

/**
 * Runs the synchronisation with the other instances: configuration, drains, digests, held grants and upstream reports.
 * The `on...` callbacks pass what arrives to the other controllers; [samphirechute.daemon.Daemon] connects them.
 */
internal class SyncController(
    private val runtime: Runtime,
    private val peerClient: PeerClient,
) {
    private val settings = runtime.settings
    private val peers: Map<InstanceId, PeerSettings> =
        settings.peers.filter { it.instance != settings.instance }.associateBy { it.instance }
    private val node = SyncNode(syncSettings(), Random(runtime.incarnation))
    private var services = emptyMap<ServiceName, ServiceSpec>()

    var onReady: () -> Unit = {}
    var onDrainsChanged: (Set<DrainTarget>) -> Unit = {}
    var onDigests: (List<DomainDigest>) -> Unit = {}
    var onGrantsReported: (InstanceId, JsonElement?) -> Unit = { _, _ -> }
    var onReports: (List<JsonElement>) -> Unit = {}
    var onCommitDrain: (Command.SetDrain) -> Unit = {}
    var onUndrainCommitted: (DrainOutput.UndrainCommitted) -> Unit = {}

    val configuration: Configuration get() = node.configuration
    val isReady: Boolean get() = node.isReady
    val drainedTargets: Set<DrainTarget> get() = node.drainedTargets
    val pendingDrains get() = node.pendingDrains
    val drainVersion: Long get() = node.drainVersion
    val members get() = node.members

    fun digests(): List<DomainDigest> = node.digests(runtime.nowMs)

    fun service(name: ServiceName): ServiceSpec? = services[name]

    fun start() {
        runtime.timer.every(TICK_MS) { feed(SyncInput.Ticked) }
        feed(SyncInput.Ticked)
    }

    fun reportUpstream(
        upstream: UpstreamId,
        report: JsonElement,
    ) = feed(SyncInput.UpstreamReported(upstream, report))

    fun updateGrants(
        domain: FailureDomain,
        payload: JsonElement?,
    ) = feed(SyncInput.GrantsChanged(domain, payload))

    /** Handles a message from a peer; returns the answer for the body of the response, if there is one. */
    fun receive(message: SyncMessage): SyncMessage? {
        var answer: SyncMessage? = null
        for (output in node.handle(SyncInput.Received(message), runtime.nowMs)) {
            if (output is SyncOutput.Answer) answer = output.message else execute(output)
        }
        return answer
    }

    fun feed(input: SyncInput) = node.handle(input, runtime.nowMs).forEach(::execute)

    private fun execute(output: SyncOutput) {
        when (output) {
            is SyncOutput.Send -> send(output)
            is SyncOutput.Answer -> Unit
            is SyncOutput.ConfigurationApplied -> handleConfigurationApplied(output.configuration)
            SyncOutput.Ready -> runtime.ring.record("ready").also { onReady() }
            is SyncOutput.DrainsChanged -> handleDrainsChanged(output.targets)
            is SyncOutput.CommitDrain -> onCommitDrain(output.command)
            is SyncOutput.UndrainCommitted -> onUndrainCommitted(output.result)
            is SyncOutput.DigestsChanged -> onDigests(output.digests)
            is SyncOutput.GrantsReported -> onGrantsReported(output.instance, output.payload)
            is SyncOutput.ForwardReports -> forward(output)
            is SyncOutput.MemberChanged -> Unit
        }
    }

    private fun send(output: SyncOutput.Send) {
        val address = peers[output.to]?.address ?: return
        peerClient.call(address, PeerRoutes.sync, output.message, SYNC_TIMEOUT_MS) { result ->
            result.fold(
                { reply -> reply.message?.let { feed(SyncInput.Received(it)) } },
                { feed(SyncInput.Failed(output.to)) },
            )
        }
    }

    private fun forward(output: SyncOutput.ForwardReports) {
        if (output.to == settings.instance) return onReports(output.reports)
        val address = peers[output.to]?.address ?: return
        val message = ReportsMessage(output.reports)
        peerClient.call(address, PeerRoutes.upstreams, message, FORWARD_TIMEOUT_MS) { }
    }

    private fun handleConfigurationApplied(configuration: Configuration) {
        services = configuration.services.associateBy { it.name }
        val size = configuration.services.size
        runtime.ring.record("configuration_applied", null, "revision" to configuration.revision, "services" to size)
    }

    private fun handleDrainsChanged(targets: Set<DrainTarget>) {
        runtime.ring.record("drains_changed", null, "targets" to targets.joinToString(",") { it.label() })
        onDrainsChanged(targets)
    }

    private fun syncSettings() =
        SyncSettings(
            settings.instance,
            settings.failureDomain,
            runtime.incarnation,
            settings.peers.map { SyncPeer(it.instance, it.failureDomain, it.isStore) },
        )

    private companion object {
        const val TICK_MS = 100L
        const val SYNC_TIMEOUT_MS = 400L
        const val FORWARD_TIMEOUT_MS = 1_000L
    }
}

/** The kind and name of a drain target, as shown in logs. */
internal fun DrainTarget.label() =
    when (this) {
        is DrainTarget.Instance -> "instance:$instance"
        is DrainTarget.Upstream -> "upstream:$upstream"
        is DrainTarget.Domain -> "domain:$failureDomain"
    }
