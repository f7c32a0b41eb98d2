package samphirechute.daemon.controller

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import samphirechute.core.PoolName
import samphirechute.daemon.Runtime
import samphirechute.net.peer.PeerJson
import samphirechute.routing.DomainDigest
import samphirechute.routing.PoolDigest
import samphirechute.state.command.DrainTarget
import samphirechute.state.sync.SyncInput
import samphirechute.state.sync.DomainDigest as SyncedDigest

/**
 * Publishes the capacity digest of this failure domain while this instance is its coordinator, and passes the digests
 * of all failure domains to the choice of failure domains in [GrantController].
 */
internal class DigestController(
    private val runtime: Runtime,
    private val sync: SyncController,
    private val coordinator: CoordinatorController,
    private val grants: GrantController,
) {
    fun start() {
        runtime.timer.every(PERIOD_MS, ::publish)
    }

    /** Publishes the current digest if this instance is the coordinator. */
    fun publish() {
        if (!coordinator.isCoordinator) return
        val isDrained = DrainTarget.Domain(runtime.settings.failureDomain) in sync.drainedTargets
        val payload = Payload(isDrained, coordinator.digest())
        sync.feed(SyncInput.DigestChanged(PeerJson.encodeToJsonElement(Payload.serializer(), payload)))
    }

    /** Passes the current digests to the choice of failure domains. */
    fun update() = sync.digests().mapNotNull(::toRoutingDigest).forEach(grants::update)

    private fun toRoutingDigest(digest: SyncedDigest): DomainDigest? {
        val payload =
            try {
                PeerJson.decodeFromJsonElement(Payload.serializer(), digest.payload)
            } catch (_: SerializationException) {
                return null
            }
        return DomainDigest(
            digest.failureDomain,
            digest.epoch,
            digest.sequence,
            digest.coordinator,
            digest.address,
            payload.isDrained,
            payload.pools,
        )
    }

    @Serializable
    private class Payload(
        val isDrained: Boolean,
        val pools: Map<PoolName, PoolDigest>,
    )

    private companion object {
        const val PERIOD_MS = 500L
    }
}
