package samphirechute.bench.sync

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.time.VirtualTimer
import samphirechute.state.lease.DomainLease
import samphirechute.state.lease.LeaseInput
import samphirechute.state.lease.LeaseMessage
import samphirechute.state.lease.LeaseOutput
import samphirechute.state.lease.LeaseSettings
import samphirechute.state.sync.Configuration
import samphirechute.state.sync.MemberHealth
import samphirechute.state.sync.SyncInput
import samphirechute.state.sync.SyncMessage
import samphirechute.state.sync.SyncNode
import samphirechute.state.sync.SyncOutput
import samphirechute.state.sync.SyncPeer
import samphirechute.state.sync.SyncSettings
import kotlin.random.Random

/** Instances on virtual time whose lease and sync messages are serialised, counted and lost at a given rate. */
internal class SyncFleet(
    seed: Long,
    domains: Int,
    instances: Int,
    private val pools: Int,
) {
    private val random = Random(seed)
    val timer = VirtualTimer()
    var loss = 0.0
    val nodes: Map<InstanceId, Node>
    val healthChanges = mutableListOf<HealthChange>()

    init {
        val peers =
            (0 until instances).map {
                val domain = 1 + it % domains
                val number = 1 + it / domains
                SyncPeer(InstanceId("tn-$domain-$number"), FailureDomain("tn-$domain"), number == 1)
            }
        nodes = peers.associate { it.instance to Node(it, peers) }
        nodes.values.forEach { it.start() }
    }

    fun run(ms: Long) = timer.advanceBy(ms)

    fun resetCounts() = nodes.values.forEach { it.resetCounts() }

    fun observersOf(node: Node) = nodes.values.count { it != node && it.self.failureDomain == node.self.failureDomain }

    /** A member whose health changed, as [observer] sees it. */
    class HealthChange(
        val atMs: Long,
        val observer: InstanceId,
        val member: InstanceId,
        val health: MemberHealth,
    )

    inner class Node(
        val self: SyncPeer,
        peers: List<SyncPeer>,
    ) {
        val id get() = self.instance
        val sync = SyncNode(SyncSettings(id, self.failureDomain, INCARNATION, peers), Random(random.nextLong()))
        private val lease: DomainLease
        private val offsetMs = random.nextLong(100_000)
        private val healths = mutableMapOf<InstanceId, MemberHealth>()
        var isUp = true
        val isCoordinator get() = lease.isHolding(nowMs())
        val syncTraffic = Traffic()
        val leaseTraffic = Traffic()

        init {
            val voters = peers.filter { it.failureDomain == self.failureDomain }.mapTo(mutableSetOf()) { it.instance }
            val settings = LeaseSettings(id, self.failureDomain, HostPort("10.20.30.40", 7000), INCARNATION, voters)
            lease = DomainLease(settings, Random(random.nextLong()))
        }

        fun start() {
            if (self.isStore) {
                handle(SyncInput.StoreReadabilityChanged(true))
                handle(SyncInput.ConfigurationCommitted(Configuration(1)))
            }
            timer.after(random.nextLong(TICK_MS)) { timer.every(TICK_MS, ::tick) }
            timer.after(random.nextLong(DIGEST_MS)) { timer.every(DIGEST_MS, ::digest) }
        }

        fun resetCounts() {
            syncTraffic.reset()
            leaseTraffic.reset()
        }

        private fun nowMs() = timer.nowMs() + offsetMs

        private fun tick() {
            if (!isUp) return
            handle(LeaseInput.Ticked)
            handle(SyncInput.Ticked)
        }

        private fun digest() {
            if (isUp && isCoordinator) handle(SyncInput.DigestChanged(randomDigest()))
        }

        /** Each pool with its free tokens and predicted time to the first token, all of which change each time. */
        private fun randomDigest(): JsonElement =
            buildJsonObject {
                for (pool in 1..pools) {
                    putJsonArray("model-$pool") {
                        add(random.nextInt(8_000))
                        add(random.nextInt(2_000))
                    }
                }
            }

        private fun handle(input: SyncInput) {
            for (output in sync.handle(input, nowMs())) {
                when (output) {
                    is SyncOutput.Send -> send(output.to, output.message)
                    is SyncOutput.Answer -> send((input as SyncInput.Received).message.sender.instance, output.message)
                    is SyncOutput.MemberChanged -> note(output.member.instance, output.member.health)
                    else -> Unit
                }
            }
        }

        private fun handle(input: LeaseInput) {
            for (output in lease.handle(input, nowMs())) {
                when (output) {
                    is LeaseOutput.Send -> send(output.to, output.message)
                    is LeaseOutput.Answer -> send((input as LeaseInput.Received).from, output.message)
                    is LeaseOutput.HolderChanged -> handle(SyncInput.CoordinatorChanged(output.holder))
                    else -> Unit
                }
            }
        }

        private fun note(
            member: InstanceId,
            health: MemberHealth,
        ) {
            if (healths.put(member, health) == health) return
            healthChanges += HealthChange(timer.nowMs(), id, member, health)
        }

        private fun send(
            to: InstanceId,
            message: SyncMessage,
        ) {
            val text = Json.encodeToString(SyncMessage.serializer(), message)
            transmit(to, text, { it.syncTraffic }) {
                it.handle(SyncInput.Received(Json.decodeFromString(SyncMessage.serializer(), text)))
            }
        }

        private fun send(
            to: InstanceId,
            message: LeaseMessage,
        ) {
            val text = Json.encodeToString(LeaseMessage.serializer(), message)
            transmit(to, text, { it.leaseTraffic }) {
                it.handle(LeaseInput.Received(id, Json.decodeFromString(LeaseMessage.serializer(), text)))
            }
        }

        private fun transmit(
            to: InstanceId,
            text: String,
            traffic: (Node) -> Traffic,
            deliver: (Node) -> Unit,
        ) {
            traffic(this).countSent(text)
            if (random.nextDouble() < loss) return
            timer.after(DELAY_MS) {
                val target = nodes.getValue(to)
                if (!target.isUp) return@after
                traffic(target).countReceived(text)
                deliver(target)
            }
        }
    }

    private companion object {
        const val TICK_MS = 100L
        const val DIGEST_MS = 500L
        const val DELAY_MS = 1L
        const val INCARNATION = 1_790_000_000_000L
    }
}
