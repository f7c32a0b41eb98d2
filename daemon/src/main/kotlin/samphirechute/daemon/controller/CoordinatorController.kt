package samphirechute.daemon.controller

import com.github.michaelbull.result.get
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.JsonElement
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.UpstreamId
import samphirechute.core.settings.PeerSettings
import samphirechute.daemon.Runtime
import samphirechute.daemon.peer.GrantReply
import samphirechute.daemon.peer.LeaseEnvelope
import samphirechute.daemon.peer.PeerRoutes
import samphirechute.daemon.upstream.AnnouncementReader
import samphirechute.daemon.upstream.EngineProtocol
import samphirechute.net.peer.PeerClient
import samphirechute.net.peer.PeerJson
import samphirechute.routing.Grant
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantRequest
import samphirechute.routing.GrantResult
import samphirechute.routing.RefusalReason
import samphirechute.routing.UpstreamReport
import samphirechute.routing.ledger.DomainLedger
import samphirechute.routing.ledger.LedgerInput
import samphirechute.routing.ledger.LedgerOutput
import samphirechute.state.command.DrainTarget
import samphirechute.state.lease.DomainLease
import samphirechute.state.lease.LeaseHolder
import samphirechute.state.lease.LeaseInput
import samphirechute.state.lease.LeaseMessage
import samphirechute.state.lease.LeaseOutput
import samphirechute.state.lease.LeaseSettings
import kotlin.random.Random

/**
 * Takes part in the lease election of this failure domain, and owns the domain's ledger of grants while this instance
 * holds the lease, that is, while it is the coordinator. Grant requests come from the local [GrantController] and from
 * peers; upstream reports and renewed grants come from [SyncController].
 */
internal class CoordinatorController(
    private val runtime: Runtime,
    private val peerClient: PeerClient,
) {
    private val settings = runtime.settings
    private val voters: Map<InstanceId, PeerSettings> = votersOf(settings).associateBy { it.instance }

    /** Null on an instance that is not a voter; such an instance learns the coordinator through synchronisation. */
    private val lease =
        if (settings.instance in voters) DomainLease(leaseSettings(), Random(runtime.incarnation)) else null
    private val ledger = DomainLedger()
    private val pendingReplies = HashMap<GrantKey, (GrantReply) -> Unit>()
    private val reports = HashMap<UpstreamId, UpstreamReport>()
    private var isActive = false

    var onHolderChanged: (LeaseHolder?) -> Unit = {}

    val holder: LeaseHolder? get() = lease?.holder
    val isCoordinator: Boolean get() = isActive && lease?.isHolding(runtime.nowMs) == true

    fun start() {
        runtime.timer.every(LEASE_TICK_MS) { feed(LeaseInput.Ticked) }
        runtime.timer.every(LEDGER_TICK_MS) { if (isActive) feed(LedgerInput.Ticked) }
    }

    /** Grants, queues or refuses a request; [onReply] is called once, unless the request is withdrawn. */
    fun requestGrant(
        request: GrantRequest,
        onReply: (GrantReply) -> Unit,
    ) {
        if (!isCoordinator) return onReply(GrantReply(reason = RefusalReason.NOT_COORDINATOR, retryAfterMs = RETRY_MS))
        pendingReplies[request.key] = onReply
        feed(LedgerInput.GrantRequested(request))
    }

    fun withdraw(key: GrantKey) {
        pendingReplies.remove(key)
        feed(LedgerInput.RequestWithdrawn(key))
    }

    fun release(
        key: GrantKey,
        result: GrantResult,
    ) = feed(LedgerInput.GrantReleased(key, result))

    /** As coordinator, takes over the complete list of grants that [instance] holds here. */
    fun renewGrants(
        instance: InstanceId,
        payload: JsonElement?,
    ) {
        if (!isCoordinator) return
        feed(LedgerInput.GrantsRenewed(instance, payload?.let(::readGrants).orEmpty()))
    }

    /** Adds announcements of upstreams; unreadable ones and those of other failure domains are skipped. */
    fun addReports(announcements: List<JsonElement>) {
        for (announcement in announcements) {
            val report = AnnouncementReader.read(announcement.toString()).get() ?: continue
            if (report.failureDomain != settings.failureDomain) continue
            reports[report.upstream] = report
            feed(LedgerInput.UpstreamReported(report))
        }
    }

    fun updateDrains(targets: Set<DrainTarget>) {
        val upstreams = targets.filterIsInstance<DrainTarget.Upstream>().mapTo(mutableSetOf()) { it.upstream }
        feed(LedgerInput.DrainsChanged(upstreams, DrainTarget.Domain(settings.failureDomain) in targets))
    }

    fun updateEligibility(isEligible: Boolean) = feed(LeaseInput.EligibilityChanged(isEligible))

    /** Handles a lease message from a peer; returns the answer for the body of the response, if there is one. */
    fun receive(envelope: LeaseEnvelope): LeaseMessage? {
        var answer: LeaseMessage? = null
        for (output in lease?.handle(LeaseInput.Received(envelope.from, envelope.message), runtime.nowMs).orEmpty()) {
            if (output is LeaseOutput.Answer) answer = output.message else execute(output)
        }
        return answer
    }

    fun digest() = ledger.digest(runtime.nowMs)

    fun views() = ledger.views(runtime.nowMs)

    /** The latest report of an upstream, or null when it is unknown or this instance is not the coordinator. */
    fun reportIfCoordinator(upstream: UpstreamId): UpstreamReport? = if (isCoordinator) reports[upstream] else null

    /** The latest report of an upstream, also when this instance is not the coordinator. */
    fun latestReport(upstream: UpstreamId): UpstreamReport? = reports[upstream]

    private fun feed(input: LeaseInput) {
        lease?.handle(input, runtime.nowMs)?.forEach(::execute)
    }

    private fun feed(input: LedgerInput) {
        // An expired lease must end the epoch in the ledger before the ledger handles another input.
        if (isActive && !isCoordinator) feed(LeaseInput.Ticked)
        ledger.handle(input, runtime.nowMs).forEach(::execute)
    }

    private fun execute(output: LeaseOutput) {
        when (output) {
            is LeaseOutput.Send -> send(output)
            is LeaseOutput.Answer -> Unit
            is LeaseOutput.Acquired -> handleLeaseAcquired(output.epoch)
            is LeaseOutput.Lost -> handleLeaseLost(output)
            is LeaseOutput.HolderChanged -> onHolderChanged(output.holder)
        }
    }

    private fun handleLeaseAcquired(epoch: Long) {
        runtime.ring.record("coordinator_elected", null, "epoch" to epoch)
        isActive = true
        ledger.handle(LedgerInput.EpochBegan(epoch), runtime.nowMs).forEach(::execute)
    }

    private fun handleLeaseLost(output: LeaseOutput.Lost) {
        runtime.ring.record("coordinator_lost", null, "epoch" to output.epoch, "reason" to output.reason)
        isActive = false
        ledger.handle(LedgerInput.EpochEnded, runtime.nowMs).forEach(::execute)
    }

    private fun send(output: LeaseOutput.Send) {
        val address = voters[output.to]?.address ?: return
        val envelope = LeaseEnvelope(settings.instance, output.message)
        peerClient.call(address, PeerRoutes.lease, envelope, LEASE_TIMEOUT_MS) { result ->
            result.get()?.message?.let { feed(LeaseInput.Received(output.to, it)) }
        }
    }

    private fun execute(output: LedgerOutput) {
        when (output) {
            is LedgerOutput.Granted -> {
                replyTo(output.grant.key, GrantReply(grant = output.grant))
            }

            is LedgerOutput.Refused -> {
                replyTo(output.key, GrantReply(reason = output.reason, retryAfterMs = output.retryAfterMs))
            }

            is LedgerOutput.Reclaim -> {
                reclaim(output)
            }

            is LedgerOutput.RecordEvent -> {
                runtime.ring.record(output.event, null, *output.fields.toList().toTypedArray())
            }
        }
    }

    private fun replyTo(
        key: GrantKey,
        reply: GrantReply,
    ) {
        pendingReplies.remove(key)?.invoke(reply)
    }

    private fun reclaim(output: LedgerOutput.Reclaim) {
        val address: HostPort = reports[output.upstream]?.address ?: return
        runtime.ring.record("memory_reclaimed", output.requestId, "upstream" to output.upstream)
        EngineProtocol.cancelAt(runtime.client, address, output.requestId, attempt = null)
    }

    private fun readGrants(payload: JsonElement): List<Grant> =
        try {
            PeerJson.decodeFromJsonElement(ListSerializer(Grant.serializer()), payload)
        } catch (_: SerializationException) {
            emptyList()
        }

    private fun leaseSettings() =
        LeaseSettings(
            settings.instance,
            settings.failureDomain,
            settings.listen,
            runtime.incarnation,
            voters.keys,
        )

    private companion object {
        const val LEASE_TICK_MS = 100L
        const val LEDGER_TICK_MS = 50L
        const val LEASE_TIMEOUT_MS = 500L
        const val RETRY_MS = 1_000L
    }
}
