package samphirechute.serving.control

import com.github.michaelbull.result.fold
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.Subscription
import samphirechute.core.time.TimerService
import samphirechute.net.peer.PeerApi
import samphirechute.net.peer.PeerClient
import samphirechute.serving.cluster.ClusterRoutes
import samphirechute.serving.cluster.CommandReply
import samphirechute.serving.cluster.CommandStatus
import samphirechute.serving.cluster.DrainedDomains
import samphirechute.serving.cluster.DrainsReply
import samphirechute.serving.cluster.LogPosition
import samphirechute.serving.cluster.PackedConfig
import samphirechute.serving.cluster.ReadReply
import samphirechute.serving.cluster.RevisionReply
import samphirechute.serving.cluster.ServingSettings
import samphirechute.serving.cluster.address
import samphirechute.serving.cluster.drainedDomains
import samphirechute.state.command.Command
import samphirechute.state.disk.StoreDisk
import samphirechute.state.host.MembershipManager
import samphirechute.state.host.RaftDriver
import samphirechute.state.host.member
import samphirechute.state.raft.AppliedEntry
import samphirechute.state.raft.DiskIdentity
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftMessage
import samphirechute.state.raft.RaftNode
import samphirechute.state.raft.RaftTimings
import samphirechute.state.raft.identity
import samphirechute.state.store.StoreState
import java.util.UUID
import kotlin.random.Random
import samphirechute.state.command.StoreMember as VotingMember

/**
 * A control instance's member of the replicated store. It owns the disk and the Raft node, and forwards commands and
 * reads to the leader. The control instance and the platform's operator API call it on the event loop.
 */
class StoreMember(
    private val settings: ServingSettings,
    private val timer: TimerService,
    private val client: PeerClient,
    post: (() -> Unit) -> Unit,
) : AutoCloseable {
    // Nothing runs in this process yet, so the start may block until the disk has room.
    private val disk =
        StoreDisk.openWhenRoom(
            { settings.openFolder(checkNotNull(settings.dataFolder) { "a control instance needs a data folder" }) },
            { UUID.randomUUID().toString() },
            { Thread.sleep(ROOM_RETRY_MS) },
        )
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
    private val drainOrders = DrainOrders(timer, ::readDrains, ::submitOnce)
    private val configProposals = PendingConfigProposals(::propose)
    private val inFlight = InFlightLimiter()
    private var lastContactMs = timer.nowMs()

    /** Called after the committed state or the leader has changed. */
    var onChanged: () -> Unit = {}

    /** Called with the reason when the store can no longer run, as after a failure of its disk. */
    var onStopped: (String) -> Unit = {}

    /**
     * Runs an action once the configuration of a revision has been sent to the entry instances that follow this one.
     */
    var afterDelivery: (revision: Long, action: () -> Unit) -> Unit = { _, action -> action() }

    val state: StoreState get() = driver.node.state

    /** The newest committed configuration. */
    val config: PackedConfig? get() = state.adopted?.let { PackedConfig(it.revision, it.content) }
    val leader: InstanceId? get() = driver.node.leader?.instance
    val isLeader: Boolean get() = driver.node.isLeader
    val members: List<InstanceId> get() = driver.node.members.map { it.instance }
    val term: Long get() = driver.node.term

    /** The last entry that [state] results from. */
    val position: LogPosition get() = LogPosition(state.index, state.term, leader)

    /** True while this instance leads a majority or has just heard from the leader. */
    val hasLeaderContact: Boolean
        get() = isLeader || (leader != null && timer.nowMs() - lastContactMs <= LEADER_CONTACT_MS)

    /**
     * True while this instance is in contact with the leader and has applied an entry of the leader's term. Before, its state
     * may lack what was committed in earlier terms, as after a start or while it catches up.
     */
    val isCurrent: Boolean get() = hasLeaderContact && driver.node.hasAppliedTerm

    fun start() {
        driver.onApplied = { entries ->
            logMembers(entries)
            logConfigs(entries)
            onChanged()
        }
        driver.onSnapshotInstalled = {
            val fields = mapOf("index" to state.index, "term" to state.term, "revision" to state.adopted?.revision)
            log.event("snapshot_installed", fields)
            onChanged()
        }
        driver.onAdditionEnded = { ended ->
            val fields = mapOf("instance" to ended.member.instance, "disk" to ended.member.diskId)
            log.event("member_not_added", fields + mapOf("reason" to ended.code, "after_ms" to ended.afterMs))
        }
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
                    "lost_disks" to campaign.lostDisks.map(::describe),
                ),
            )
        }
        driver.onDiskLost = { disk ->
            log.event("voter_disk_lost", mapOf("instance" to disk.instance, "disk" to disk.diskId))
        }
        driver.onStopped = { reason ->
            log.warn("store_stopped", mapOf("reason" to reason))
            onStopped(reason)
        }
        driver.start()
        timer.every(MEMBERSHIP_TICK_MS) { membership.tick(driver.node, timer.nowMs()) }
        log.event(
            "store_started",
            mapOf(
                "disk" to disk.diskId,
                "term" to term,
                "index" to state.index,
                "revision" to state.adopted?.revision,
                "last_index" to driver.node.lastIndex,
                "last_revision" to driver.node.lastLoggedRevision,
                "voters" to describe(driver.node.members),
            ),
        )
    }

    fun serve(api: PeerApi) {
        api.on(ClusterRoutes.raft) { message, exchange ->
            // The answer only confirms the receipt; replies of the log are messages of their own.
            exchange.answer(Unit)
            if (message is RaftMessage.AppendRequest) lastContactMs = timer.nowMs()
            driver.receive(message)
        }
        api.on(ClusterRoutes.commands) { command, exchange -> proposeLocally(command, exchange::answer) }
        api.on(ClusterRoutes.readConfig) { _, exchange -> readLocally { exchange.answer(it) } }
        api.on(ClusterRoutes.confirmRevision) { _, exchange -> confirmRevisionLocally(exchange::answer) }
        api.on(ClusterRoutes.readDrains) { _, exchange -> readDrainsLocally(exchange::answer) }
    }

    /** Commits a configuration; one that is no newer than the committed one counts as done. */
    fun adopt(
        config: PackedConfig,
        onResult: (AdoptOutcome) -> Unit,
    ) {
        if (config.revision <= (state.adopted?.revision ?: 0)) return onResult(AdoptOutcome.Held(position))
        submit(Command.AdoptConfig(config.revision, config.packed), onResult)
    }

    /** Takes a failure domain out of service or brings it back. */
    fun setDrained(
        order: DrainOrder,
        onResult: (isDone: Boolean) -> Unit,
    ) = drainOrders.carryOut(order, onResult)

    /** Reads the drained failure domains, confirmed by a majority; null when that fails in time. */
    fun readDrains(onDrains: (DrainedDomains?) -> Unit) {
        if (isLeader) return readDrainsLocally { onDrains(it.drains) }
        val address = leader?.address ?: return onDrains(null)
        client.call(address, ClusterRoutes.readDrains, Unit, ATTEMPT_TIMEOUT_MS) { result ->
            result.fold({ onDrains(it.drains) }, { onDrains(null) })
        }
    }

    /** Records a quarantine of prompts; only the leader does so. */
    fun recordQuarantine(
        command: Command,
        onResult: (isCommitted: Boolean) -> Unit,
    ) = propose(command) { onResult(it.status == CommandStatus.COMMITTED) }

    /** Reads the newest configuration, confirmed by a majority. The reply is unconfirmed when that fails in time. */
    fun read(onResult: (ReadReply) -> Unit) {
        if (isLeader) return readLocally(onResult)
        val address = leader?.address ?: return onResult(ReadReply(isConfirmed = false))
        client.call(address, ClusterRoutes.readConfig, Unit, READ_TIMEOUT_MS) { result ->
            result.fold(onResult) { onResult(ReadReply(isConfirmed = false)) }
        }
    }

    /**
     * Gives up the vote of this member if the store bears more losses without it, and then calls [onDone], at the latest
     * after [LEAVE_TIMEOUT_MS].
     */
    fun leave(onDone: () -> Unit) {
        if (!membership.shouldLeave(driver.node)) return onDone()
        driver.node.leave()
        val startedMs = timer.nowMs()
        lateinit var waiting: Subscription
        waiting =
            timer.every(LEAVE_CHECK_MS) {
                val afterMs = timer.nowMs() - startedMs
                if (!driver.node.hasLeft && afterMs < LEAVE_TIMEOUT_MS) return@every
                waiting.cancel()
                log.event("member_left", mapOf("done" to driver.node.hasLeft, "after_ms" to afterMs))
                onDone()
            }
    }

    /** Looks for the store at these control instances too while no leader contacts this member. */
    fun updatePeers(seeds: List<HostPort>) =
        driver.node.updatePeers(seeds.mapTo(HashSet()) { InstanceId(it.toString()) })

    override fun close() = driver.close()

    private fun submit(
        command: Command,
        onResult: (AdoptOutcome) -> Unit,
    ) = submitUntil(command, timer.nowMs() + SUBMIT_TIMEOUT_MS, onResult)

    /** Retries until the deadline. A command that is committed twice has the effect of one, so a retry is safe. */
    private fun submitUntil(
        command: Command,
        deadlineMs: Long,
        onResult: (AdoptOutcome) -> Unit,
    ) {
        val remainingMs = deadlineMs - timer.nowMs()
        if (remainingMs <= 0) return onResult(AdoptOutcome.TimedOut(leader))
        submitOnce(command, remainingMs) { reply ->
            when (reply.status) {
                CommandStatus.COMMITTED -> onResult(AdoptOutcome.Committed(reply.position))
                else -> timer.after(RETRY_MS) { submitUntil(command, deadlineMs, onResult) }
            }
        }
    }

    private fun submitOnce(
        command: Command,
        timeoutMs: Long,
        onReply: (CommandReply) -> Unit,
    ) {
        val address = leader?.takeIf { !isLeader }?.address
        if (address == null) return proposeLocally(command, onReply)
        client.call(address, ClusterRoutes.commands, command, minOf(timeoutMs, ATTEMPT_TIMEOUT_MS)) { result ->
            result.fold(onReply) { onReply(CommandReply(CommandStatus.UNKNOWN)) }
        }
    }

    private fun logMembers(entries: List<AppliedEntry>) {
        val changes = entries.filter { it.command is Command.AddMember || it.command is Command.RemoveMember }
        val last = changes.lastOrNull() ?: return
        val voters = describe(state.members)
        log.event("members_changed", mapOf("index" to last.index, "term" to last.term, "voters" to voters))
    }

    /** On the leader, the line also names the voters that have the entry on disk by now. */
    private fun logConfigs(entries: List<AppliedEntry>) {
        for (entry in entries) {
            val command = entry.command as? Command.AdoptConfig ?: continue
            val durableOn = driver.node.durableVoters(entry.index)
            log.event(
                "configuration_committed",
                mapOf(
                    "revision" to command.revision,
                    "digest" to PackedConfig.digestOf(command.content),
                    "held" to state.adopted?.revision,
                    "index" to entry.index,
                    "term" to entry.term,
                    "leader" to leader,
                    "durable_on" to durableOn?.let(::describe),
                    "voters" to describe(driver.node.members),
                ),
            )
        }
    }

    private fun describe(members: List<VotingMember>) = members.joinToString(",") { describe(it.identity) }

    private fun describe(disk: DiskIdentity) = "${disk.instance}/${disk.diskId}"

    private fun proposeLocally(
        command: Command,
        onReply: (CommandReply) -> Unit,
    ) = if (command is Command.AdoptConfig) configProposals.propose(command, onReply) else propose(command, onReply)

    private fun propose(
        command: Command,
        onReply: (CommandReply) -> Unit,
    ) = driver.propose(command) { outcome ->
        onReply(
            when (outcome) {
                is ProposalOutcome.Committed -> {
                    val position = LogPosition(outcome.index, term, leader)
                    val reply = CommandReply(CommandStatus.COMMITTED, outcome.result, position = position)
                    if (command !is Command.AdoptConfig) return@propose onReply(reply)
                    return@propose afterDelivery(command.revision) { onReply(reply) }
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

    private fun readLocally(onResult: (ReadReply) -> Unit) =
        driver.confirmedRead { state ->
            val config = state?.adopted?.let { PackedConfig(it.revision, it.content) }
            onResult(ReadReply(state != null, config, position))
        }

    private fun confirmRevisionLocally(onResult: (RevisionReply) -> Unit) =
        driver.confirmedRead { state -> onResult(RevisionReply(state != null, state?.adopted?.revision ?: 0)) }

    private fun readDrainsLocally(onResult: (DrainsReply) -> Unit) =
        driver.confirmedRead { state -> onResult(DrainsReply(state?.drainedDomains())) }

    private fun send(
        to: InstanceId,
        message: RaftMessage,
    ) {
        val address = to.address ?: return
        if (!inFlight.tryAcquire(to)) return
        client.call(address, ClusterRoutes.raft, message, SEND_TIMEOUT_MS) { inFlight.release(to) }
    }

    /** True when this instance may create the store, which happens once, at the first start of the whole system. */
    private fun canBootstrap() = settings.isFirstStart && settings.peerAddress in settings.seeds

    private companion object {
        const val LEADER_CONTACT_MS = 700L

        /** The time between two attempts to start on a disk that refuses writes. */
        const val ROOM_RETRY_MS = 200L
        const val MEMBERSHIP_TICK_MS = 100L
        const val LEAVE_CHECK_MS = 20L

        /** Several elections; a member that has not left by then stops all the same. */
        const val LEAVE_TIMEOUT_MS = 2_000L

        /** Upstreams and operators call another instance after a second without an answer. */
        const val SUBMIT_TIMEOUT_MS = 900L
        const val ATTEMPT_TIMEOUT_MS = 600L
        const val RETRY_MS = 50L
        const val READ_TIMEOUT_MS = 800L
        const val SEND_TIMEOUT_MS = 1_000L
        val log = KeyValueLog("store")
    }
}
