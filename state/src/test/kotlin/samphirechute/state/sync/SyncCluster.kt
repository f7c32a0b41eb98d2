package samphirechute.state.sync

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.core.time.VirtualTimer
import samphirechute.state.command.Command
import samphirechute.state.command.DrainTarget
import samphirechute.state.drain.DrainInput
import samphirechute.state.drain.OverlayEntry
import samphirechute.state.lease.DomainLease
import samphirechute.state.lease.LeaseInput
import samphirechute.state.lease.LeaseMessage
import samphirechute.state.lease.LeaseOutput
import samphirechute.state.lease.LeaseSettings
import samphirechute.state.sim.SimNetwork
import samphirechute.state.sim.SimProcess
import kotlin.random.Random

/** A bug that is planted into the simulation, to prove that the checks detect it. */
enum class PlantedSyncFault {
    LOSES_STATE_WHILE_RUNNING,
    READY_AT_ONCE,
    DRAINS_SILENT_MEMBER,
    LOSES_DRAIN,
    DROPS_CHANGE,
    RECEIVES_NOTHING,
}

/**
 * Simulates instances with lease and sync in several failure domains on virtual time. The first instance of each domain
 * is a store member. Messages are encoded as JSON. What the checks find goes to [violations].
 */
class SyncCluster(
    seed: Long,
    domains: Int = 3,
    perDomain: Int = 3,
    val planted: PlantedSyncFault? = null,
) {
    val random = Random(seed)
    val timer = VirtualTimer()
    val network = SimNetwork(timer, random)
    val store = SimStore(random)
    val violations = mutableListOf<String>()
    val ordered = mutableSetOf<DrainTarget>()
    val nodes =
        (0 until domains)
            .flatMap { domain -> (1..perDomain).map { Node("${'a' + domain}$it", "${'a' + domain}", it == 1) } }
            .associateBy { it.id }
    val ids = nodes.keys.toList()
    private val stores = nodes.values.filter { it.isStore }
    private var operations = 0

    init {
        nodes.values.forEach { it.start() }
        timer.every(STORE_PERIOD_MS) { stores.forEach { it.readStore() } }
        timer.every(TICK_MS) { nodes.values.forEach { it.check() } }
    }

    fun node(id: String) = nodes.getValue(InstanceId(id))

    fun domain(name: String) = nodes.values.filter { it.domain.value == name }.map { it.id }

    fun run(ms: Long) = timer.advanceBy(ms)

    fun drain(
        at: Node,
        target: DrainTarget,
        isDrained: Boolean = true,
    ) {
        val operationId = OperationId("op-${operations++}")
        if (isDrained) ordered += target
        val input =
            if (isDrained) DrainInput.Ordered(operationId, target) else DrainInput.UndrainOrdered(operationId, target)
        at.handle(SyncInput.DrainEvent(input))
    }

    fun isLinked(
        one: Node,
        other: Node,
    ) = one == other ||
        (one.process.isUp && other.process.isUp && !network.isCut(one.id, other.id) && !network.isCut(other.id, one.id))

    /** The differences from the expected state; there must be none some time after all faults are healed. */
    fun differences(): List<String> =
        nodes.values.flatMap { node ->
            val sync = node.sync
            val alive = sync.members.count { it.health == MemberHealth.ALIVE }
            listOfNotNull(
                "not ready".takeUnless { sync.isReady },
                "revision ${sync.configuration.revision}".takeIf {
                    sync.configuration.revision !=
                        store.configuration.revision
                },
                "drains ${sync.drainedTargets}".takeIf { sync.drainedTargets != store.drains.targets },
                "pending ${sync.pendingDrains}".takeIf { sync.pendingDrains.isNotEmpty() },
                "digests".takeIf {
                    sync
                        .digests(
                            node.process.nowMs(),
                        ).size != nodes.values.distinctBy { it.domain }.size
                },
                "alive $alive".takeIf { alive != domain(node.domain.value).size },
            ).map { "${node.id}: $it, store ${store.configuration.revision} ${store.drains.targets}" }
        }

    inner class Node(
        name: String,
        domainName: String,
        val isStore: Boolean,
    ) {
        val id = InstanceId(name)
        val domain = FailureDomain(domainName)
        val process = SimProcess(timer, clockBaseMs = random.nextLong(1_000_000))
        lateinit var sync: SyncNode
        lateinit var lease: DomainLease
        val reportedGrants = mutableMapOf<InstanceId, String>()
        val forwarded = mutableListOf<InstanceId>()
        private var disk = Configuration()
        private var highest = 0L
        private var required = emptyMap<Node, Long>()
        private var targets = emptySet<DrainTarget>()
        private var entries = emptyList<OverlayEntry>()

        fun start() {
            process.start()
            highest = 0
            targets = emptySet()
            entries = emptyList()
            val incarnation = WALL_BASE_MS + timer.nowMs()
            create(incarnation)
            required = nodesToAsk().associateWith { it.sync.configuration.revision }
            val voters = domain(domain.value).toSet()
            lease = DomainLease(LeaseSettings(id, domain, ADDRESS, incarnation, voters), Random(random.nextLong()))
            process.every(TICK_MS) {
                handleLease(LeaseInput.Ticked)
                if (lease.isHolding(process.nowMs())) handle(SyncInput.DigestChanged(JsonPrimitive(timer.nowMs())))
                handle(SyncInput.Ticked)
            }
            if (isStore && disk.revision > 0) handle(SyncInput.ConfigurationCommitted(disk))
            if (planted == PlantedSyncFault.READY_AT_ONCE) onReady()
        }

        fun kill() = process.kill()

        fun restart() = kill().also { start() }

        /** The instances whose answers a restarted one must have got, unless they were unreachable at some time. */
        private fun nodesToAsk() =
            if (timer.nowMs() ==
                0L
            ) {
                emptyList()
            } else {
                nodes.values.filter { it != this && (it.isStore || it.domain == domain) }
            }

        private fun create(incarnation: Long) {
            val peers = nodes.values.map { SyncPeer(it.id, it.domain, it.isStore) }
            sync = SyncNode(SyncSettings(id, domain, incarnation, peers), Random(random.nextLong()))
        }

        fun check() {
            required = required.filterKeys { network.lossRate == 0.0 && !it.process.isPaused && isLinked(this, it) }
            if (!process.isUp || process.isPaused) return
            val revision = sync.configuration.revision
            if (revision < highest) violations += "at ${timer.nowMs()} ms $id went back from $highest to $revision"
            highest = maxOf(highest, revision)
            if (sync.configuration.services.toSet() !=
                store.history[revision]
            ) {
                violations += "$id has another set at $revision"
            }
            val returned =
                (targets - sync.drainedTargets).filterNot { store.mayBeInService(it, sync.drainVersion, entries) }
            entries = sync.drainEntries
            if (returned.isNotEmpty()) violations += "at ${timer.nowMs()} ms $id brought back $returned"
            targets = sync.drainedTargets
            val unordered = targets - ordered
            if (unordered.isNotEmpty()) violations += "at ${timer.nowMs()} ms $id drained $unordered without an order"
        }

        fun readStore() {
            val quorum = stores.count { isLinked(this, it) && !it.process.isPaused }
            val isReadable = process.isUp && quorum > stores.size / 2
            handle(SyncInput.StoreReadabilityChanged(isReadable))
            if (!isReadable || process.isPaused) return
            disk = store.configuration
            if (sync.configuration.revision < disk.revision) handle(SyncInput.ConfigurationCommitted(disk))
            if (sync.drainVersion < store.drains.version) {
                handle(SyncInput.DrainEvent(DrainInput.RecordLearned(store.drains)))
            }
        }

        fun handle(input: SyncInput): Unit =
            process.run {
                sync.handle(input, process.nowMs()).forEach { execute(it, input) }
            }

        fun handleLease(input: LeaseInput): Unit =
            process.run {
                for (output in lease.handle(input, process.nowMs())) {
                    when (output) {
                        is LeaseOutput.Send -> sendLease(output.to, output.message)
                        is LeaseOutput.Answer -> sendLease((input as LeaseInput.Received).from, output.message)
                        is LeaseOutput.HolderChanged -> handle(SyncInput.CoordinatorChanged(output.holder))
                        is LeaseOutput.Acquired, is LeaseOutput.Lost -> Unit
                    }
                }
            }

        private fun execute(
            output: SyncOutput,
            input: SyncInput,
        ) {
            when (output) {
                is SyncOutput.Send -> send(output.to, output.message)
                is SyncOutput.Answer -> send((input as SyncInput.Received).message.sender.instance, output.message)
                is SyncOutput.Ready -> onReady()
                is SyncOutput.CommitDrain -> commit(output.command)
                is SyncOutput.GrantsReported -> reportedGrants[output.instance] = output.payload.toString()
                is SyncOutput.ForwardReports -> forwarded += output.to
                else -> Unit
            }
        }

        private fun onReady() {
            val revision = sync.configuration.revision
            val missed = required.filterValues { it > revision }.map { (node, it) -> "${node.id} had $it" }
            if (missed.isNotEmpty()) violations += "at ${timer.nowMs()} ms $id became ready with $revision, but $missed"
        }

        private fun commit(command: Command.SetDrain) {
            val isReachable = stores.any { it.canCommit() && isLinked(this, it) }
            timer.after(if (isReachable) 5 else 500) {
                val result =
                    if (isReachable) {
                        DrainInput.CommandCommitted(command.operationId, store.apply(command))
                    } else {
                        DrainInput.CommitFailed(command.operationId)
                    }
                handle(SyncInput.DrainEvent(result))
            }
        }

        private fun canCommit() =
            !process.isPaused && stores.count { isLinked(this, it) && it.process.isUp } > stores.size / 2

        private fun sendLease(
            to: InstanceId,
            message: LeaseMessage,
        ) = network.send(id, to) { nodes.getValue(to).handleLease(LeaseInput.Received(id, message)) }

        private fun send(
            to: InstanceId,
            message: SyncMessage,
        ) {
            val target = nodes.getValue(to)
            val text = Json.encodeToString(SyncMessage.serializer(), message)
            network.send(id, to) {
                if (target.process.isUp) {
                    target.receive(Json.decodeFromString(SyncMessage.serializer(), text))
                } else if (message is SyncMessage.Request) {
                    // The connection is refused.
                    network.send(to, id) { handle(SyncInput.Failed(to)) }
                }
            }
        }

        private fun receive(message: SyncMessage) {
            val isTarget = id.value == "a2" && timer.nowMs() > PLANT_MS
            val changed = message.data.configuration
            when (planted.takeIf { isTarget }) {
                PlantedSyncFault.RECEIVES_NOTHING -> {
                    return
                }

                PlantedSyncFault.DRAINS_SILENT_MEMBER -> {
                    sync.drainOnSilence()
                }

                PlantedSyncFault.LOSES_STATE_WHILE_RUNNING -> {
                    if (random.nextInt(50) == 0) create(WALL_BASE_MS + timer.nowMs())
                }

                PlantedSyncFault.LOSES_DRAIN -> {
                    val record = store.drains.copy(version = store.drains.version + 1, targets = emptySet())
                    handle(SyncInput.DrainEvent(DrainInput.RecordLearned(record)))
                }

                PlantedSyncFault.DROPS_CHANGE -> {
                    if (message is SyncMessage.Push && changed != null) {
                        val data = message.data.copy(configuration = changed.copy(changed = changed.changed.drop(1)))
                        return handle(SyncInput.Received(message.copy(data = data)))
                    }
                }

                else -> {}
            }
            handle(SyncInput.Received(message))
        }

        private fun SyncNode.drainOnSilence() {
            val silent = members.firstOrNull { it.health == MemberHealth.DEAD } ?: return
            val input = DrainInput.Ordered(OperationId("silent"), DrainTarget.Instance(silent.instance))
            handle(SyncInput.DrainEvent(input), process.nowMs())
        }
    }

    private companion object {
        const val TICK_MS = 100L
        const val STORE_PERIOD_MS = 50L
        const val PLANT_MS = 8_000L
        const val WALL_BASE_MS = 1_700_000_000_000L
        val ADDRESS = HostPort("127.0.0.1", 1)
    }
}
