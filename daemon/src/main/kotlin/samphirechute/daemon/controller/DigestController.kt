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

/** Tells other instances what the own failure domain can carry, and takes in what others tell. */
internal class DigestController(
    private val runtime: Runtime,
    private val sync: SyncController,
    private val coordinator: CoordinatorController,
    private val grants: GrantController,
) {
    fun start() {
        runtime.timer.every(PERIOD_MS, ::publish)
    }

    /** As coordinator, puts out the current digest. */
    fun publish() {
        if (!coordinator.isCoordinator) return
        val isDrained = DrainTarget.Domain(runtime.settings.failureDomain) in sync.drainedTargets
        val payload = Payload(isDrained, coordinator.digest())
        sync.feed(SyncInput.DigestChanged(PeerJson.encodeToJsonElement(Payload.serializer(), payload)))
    }

    /** Passes the fresh digests on to the choice of failure domains. */
    fun update() = sync.digests().mapNotNull(::toRouting).forEach(grants::update)

    private fun toRouting(digest: SyncedDigest): DomainDigest? {
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
