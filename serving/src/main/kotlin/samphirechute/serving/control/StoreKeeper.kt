package samphirechute.serving.control

import com.github.michaelbull.result.fold
import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.TimerService
import samphirechute.net.peer.PeerApi
import samphirechute.net.peer.PeerClient
import samphirechute.serving.cluster.ClusterRoutes
import samphirechute.serving.cluster.CommandReply
import samphirechute.serving.cluster.CommandStatus
import samphirechute.serving.cluster.PackedConfig
import samphirechute.serving.cluster.ReadReply
import samphirechute.serving.cluster.ServingSettings
import samphirechute.serving.cluster.address
import samphirechute.state.command.Command
import samphirechute.state.command.DrainTarget
import samphirechute.state.disk.NioFolder
import samphirechute.state.disk.StoreDisk
import samphirechute.state.host.MembershipManager
import samphirechute.state.host.RaftDriver
import samphirechute.state.host.member
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftMessage
import samphirechute.state.raft.RaftNode
import samphirechute.state.raft.RaftTimings
import samphirechute.state.store.AdoptedConfig
import samphirechute.state.store.StoreState
import java.util.UUID
import kotlin.random.Random

/**
 * The durable state at a control instance: its member of the replicated log, and commands and reads that are passed on to
 * whichever instance leads.
 */
class StoreKeeper(
    private val settings: ServingSettings,
    private val timer: TimerService,
    private val client: PeerClient,
    post: (() -> Unit) -> Unit,
) : AutoCloseable {
    private val disk =
        StoreDisk.open(NioFolder(checkNotNull(settings.dataFolder) { "a control instance needs a data folder" })) {
            UUID.randomUUID().toString()
        }
    private val driver =
        RaftDriver(timer, disk, post, ::send) {
            RaftNode(
                disk.member(settings.instance, settings.failureDomain, settings.peerAddress),
                settings.seeds.map { InstanceId(it.toString()) }.toSet() + settings.instance,
                disk.restored,
                Random.Default,
                timer.nowMs(),
                RaftTimings(hasLeaseReads = false),
                canBootstrap = canBootstrap(),
            )
        }
    private val membership = MembershipManager(2 * settings.toleratedLosses + 1) { driver.propose(it) { } }
    private val adoptions = PendingAdoptions(::propose)
    private val unanswered = UnansweredMessages()
    private var lastContactMs = timer.nowMs()

    /** Called after the committed state has changed. */
    var onChanged: () -> Unit = {}
    var onStopped: (String) -> Unit = {}

    /** Runs an action once the configuration of a revision has been sent to the instances that follow this one. */
    var whenSent: (revision: Long, action: () -> Unit) -> Unit = { _, action -> action() }

    val state: StoreState get() = driver.node.state

    /** The newest committed configuration. */
    val config: PackedConfig? get() = state.adopted?.let { PackedConfig(it.revision, it.content) }
    val leader: InstanceId? get() = driver.node.leader?.instance
    val isLeader: Boolean get() = driver.node.isLeader
    val members: List<InstanceId> get() = driver.node.members.map { it.instance }
    val term: Long get() = driver.node.term

    /** True while this instance leads a majority or has just heard from the one that does. */
    val isInTouch: Boolean get() = isLeader || (leader != null && timer.nowMs() - lastContactMs <= CONTACT_MS)

    fun start() {
        driver.onApplied = { onChanged() }
        driver.onSnapshotInstalled = { onChanged() }
        driver.onLeaderChanged = { onChanged() }
        driver.onLeadershipChanged = { term, isLeading ->
            log.event(if (isLeading) "leadership_gained" else "leadership_lost", mapOf("term" to term))
        }
        driver.onCampaign = { campaign ->
            log.event(
                "election_started",
                mapOf(
                    "term" to campaign.term,
                    "preliminary" to campaign.isPreVote,
                    "votes_before" to campaign.grantsBefore,
                    "needed" to campaign.needed,
                ),
            )
        }
        driver.onStopped = { reason ->
            log.warn("store_stopped", mapOf("reason" to reason))
            onStopped(reason)
        }
        driver.start()
        timer.every(KEEP_MS) { membership.tick(driver.node, timer.nowMs()) }
        log.event(
            "store_started",
            mapOf("disk" to disk.diskId, "index" to state.index, "revision" to state.adopted?.revision),
        )
    }

    fun serve(api: PeerApi) {
        api.on(ClusterRoutes.raft) { message, exchange ->
            exchange.answer(Unit)
            if (message is RaftMessage.AppendRequest) lastContactMs = timer.nowMs()
            driver.receive(message)
        }
        api.on(ClusterRoutes.commands) { command, exchange -> proposeHere(command, exchange::answer) }
        api.on(ClusterRoutes.read) { _, exchange -> readHere { exchange.answer(it) } }
    }

    /** Puts a configuration in force, unless it is no newer than the one that a majority has committed. */
    fun adopt(
        config: AdoptedConfig,
        onResult: (isDone: Boolean) -> Unit,
    ) {
        if (config.revision <= (state.adopted?.revision ?: 0)) return onResult(true)
        submit(Command.AdoptConfig(config.revision, PackedConfig.of(config).packed), onResult)
    }

    /** Takes a failure domain out of service or brings it back. */
    fun setDrained(
        domain: FailureDomain,
        isDrained: Boolean,
        onResult: (isDone: Boolean) -> Unit,
    ) {
        val operationId = OperationId(UUID.randomUUID().toString())
        submit(Command.SetDrain(operationId, DrainTarget.Domain(domain), isDrained), onResult)
    }

    /** Reads the newest configuration, confirmed by a majority; null when that cannot be had in time. */
    fun read(onResult: (ReadReply) -> Unit) {
        if (isLeader) return readHere(onResult)
        val address = leader?.address ?: return onResult(ReadReply(isConfirmed = false))
        client.call(address, ClusterRoutes.read, Unit, READ_TIMEOUT_MS) { result ->
            result.fold(onResult) { onResult(ReadReply(isConfirmed = false)) }
        }
    }

    override fun close() = driver.close()

    private fun submit(
        command: Command,
        onResult: (Boolean) -> Unit,
    ) = attempt(command, timer.nowMs() + SUBMIT_MS, onResult)

    /** Tries until the time is over; each command may be committed twice with the effect of once. */
    private fun attempt(
        command: Command,
        untilMs: Long,
        onResult: (Boolean) -> Unit,
    ) {
        val leftMs = untilMs - timer.nowMs()
        if (leftMs <= 0) return onResult(false)
        val finish: (CommandReply) -> Unit = { reply ->
            when (reply.status) {
                CommandStatus.COMMITTED -> onResult(true)
                else -> timer.after(RETRY_MS) { attempt(command, untilMs, onResult) }
            }
        }
        val address = leader?.takeIf { !isLeader }?.address
        if (address == null) return proposeHere(command, finish)
        client.call(address, ClusterRoutes.commands, command, minOf(leftMs, TRY_MS)) { result ->
            result.fold(finish) { finish(CommandReply(CommandStatus.UNKNOWN)) }
        }
    }

    private fun proposeHere(
        command: Command,
        onReply: (CommandReply) -> Unit,
    ) = if (command is Command.AdoptConfig) adoptions.propose(command, onReply) else propose(command, onReply)

    private fun propose(
        command: Command,
        onReply: (CommandReply) -> Unit,
    ) = driver.propose(command) { outcome ->
        onReply(
            when (outcome) {
                is ProposalOutcome.Committed -> {
                    val reply = CommandReply(CommandStatus.COMMITTED, outcome.result)
                    if (command !is Command.AdoptConfig) return@propose onReply(reply)
                    return@propose whenSent(command.revision) { onReply(reply) }
                }

                is ProposalOutcome.NotLeader -> {
                    CommandReply(
                        CommandStatus.NOT_LEADER,
                        leader = outcome.leader?.instance,
                    )
                }

                is ProposalOutcome.Refused -> {
                    CommandReply(CommandStatus.REFUSED)
                }

                ProposalOutcome.Unknown -> {
                    CommandReply(CommandStatus.UNKNOWN)
                }
            },
        )
    }

    private fun readHere(onResult: (ReadReply) -> Unit) =
        driver.confirmedRead { state ->
            onResult(ReadReply(state != null, state?.adopted?.let { PackedConfig(it.revision, it.content) }))
        }

    private fun send(
        to: InstanceId,
        message: RaftMessage,
    ) {
        val address = to.address ?: return
        if (!unanswered.take(to)) return
        client.call(address, ClusterRoutes.raft, message, SEND_TIMEOUT_MS) { unanswered.giveBack(to) }
    }

    private fun canBootstrap() = settings.isFirstStart && settings.peerAddress in settings.seeds

    private companion object {
        const val CONTACT_MS = 700L
        const val KEEP_MS = 100L

        /** Callers move on after a second without an answer. */
        const val SUBMIT_MS = 900L
        const val TRY_MS = 600L
        const val RETRY_MS = 50L
        const val READ_TIMEOUT_MS = 800L
        const val SEND_TIMEOUT_MS = 1_000L
        val log = KeyValueLog("store")
    }
}
