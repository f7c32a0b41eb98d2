package samphirechute.daemon.controller

import samphirechute.core.InstanceId
import samphirechute.core.api.StoreView
import samphirechute.core.settings.PeerSettings
import samphirechute.core.settings.StoreSettings
import samphirechute.daemon.Runtime
import samphirechute.daemon.peer.CommandOutcome
import samphirechute.daemon.peer.CommandReply
import samphirechute.daemon.peer.PeerRoutes
import samphirechute.net.peer.PeerApi
import samphirechute.net.peer.PeerClient
import samphirechute.state.command.Command
import samphirechute.state.disk.NioFolder
import samphirechute.state.disk.StoreDisk
import samphirechute.state.drain.DrainInput
import samphirechute.state.drain.DrainRecord
import samphirechute.state.host.RaftDriver
import samphirechute.state.host.member
import samphirechute.state.raft.AppliedEntry
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftMessage
import samphirechute.state.raft.RaftNode
import samphirechute.state.store.StoreState
import samphirechute.state.sync.Configuration
import java.util.UUID
import kotlin.random.Random

/** Keeps this instance's member of the replicated log: its messages, its disk, and what its state tells others. */
internal class StoreController(
    private val runtime: Runtime,
    private val peerClient: PeerClient,
    settings: StoreSettings,
) : AutoCloseable {
    private val stores: Map<InstanceId, PeerSettings> =
        (runtime.settings.peers + runtime.settings.self).filter { it.isStore }.associateBy { it.instance }
    private val disk =
        StoreDisk.open(
            NioFolder(settings.dataFolder.resolve(LOG_FOLDER)),
        ) { UUID.randomUUID().toString() }
    private val driver =
        RaftDriver(runtime.timer, disk, runtime.loop::post, ::send) {
            RaftNode(member(), stores.keys, disk.restored, Random(runtime.incarnation), runtime.nowMs)
        }
    private val node: RaftNode get() = driver.node
    private var told = StoreState()

    var onConfiguration: (Configuration) -> Unit = {}
    var onDrainRecord: (DrainInput) -> Unit = {}
    var onReadabilityChanged: (Boolean) -> Unit = {}
    var onApplied: (AppliedEntry) -> Unit = {}

    /** Called when the disk failed, after which this member does nothing more. */
    var onStopped: () -> Unit = {}

    /** Called with the term when this member becomes leader, and with null when it is one no longer. */
    var onLeadershipChanged: (Long?) -> Unit = {}

    val state: StoreState get() = node.state
    val isLeader: Boolean get() = node.isLeader

    /** False while this instance's disk is not in the membership, as after it was wiped. */
    val isVoter: Boolean get() = node.isVoter

    /** The time until which no other member can lead. */
    fun leaseUntilMs() = node.leaseUntilMs()

    fun start() {
        driver.onApplied = ::applied
        driver.onSnapshotInstalled = ::tell
        driver.onReadabilityChanged = { onReadabilityChanged(it) }
        driver.onLeadershipChanged = ::leadershipChanged
        driver.onStopped = ::stopped
        driver.start()
        tell()
    }

    fun serve(api: PeerApi) {
        api.on(PeerRoutes.raft) { message, exchange ->
            exchange.answer(Unit)
            driver.receive(message)
        }
        api.on(PeerRoutes.commands) { command, exchange -> propose(command, exchange::answer) }
    }

    /** Gives a command to the log; [onReply] is called once. */
    fun propose(
        command: Command,
        onReply: (CommandReply) -> Unit,
    ) {
        driver.propose(stamped(command)) { onReply(reply(it)) }
    }

    /** The term of the leader that issues an order is its fencing number. */
    private fun stamped(command: Command) =
        if (command is Command.IssueOrder) command.copy(fencingNumber = node.term) else command

    fun view() = StoreView(node.leader?.instance, node.term)

    override fun close() = driver.close()

    private fun applied(entries: List<AppliedEntry>) {
        tell()
        entries.forEach(onApplied)
    }

    private fun stopped(reason: String) {
        runtime.ring.record("store_stopped", null, "reason" to reason)
        onStopped()
    }

    private fun leadershipChanged(
        term: Long,
        isLeading: Boolean,
    ) {
        runtime.ring.record(if (isLeading) "store_leader_elected" else "store_leader_lost", null, "term" to term)
        onLeadershipChanged(term.takeIf { isLeading })
    }

    private fun send(
        to: InstanceId,
        message: RaftMessage,
    ) {
        val address = stores[to]?.address ?: return
        peerClient.call(address, PeerRoutes.raft, message, SEND_TIMEOUT_MS) { }
    }

    private fun reply(outcome: ProposalOutcome) =
        when (outcome) {
            is ProposalOutcome.Committed -> CommandReply(CommandOutcome.COMMITTED, outcome.result)
            is ProposalOutcome.NotLeader -> CommandReply(CommandOutcome.NOT_LEADER, leader = outcome.leader?.address)
            is ProposalOutcome.Refused -> CommandReply(CommandOutcome.REFUSED, message = outcome.message)
            ProposalOutcome.Unknown -> CommandReply(CommandOutcome.UNKNOWN)
        }

    /** Tells what changed of the configuration and the drains. */
    private fun tell() {
        val current = node.state
        if (current.revision > told.revision) onConfiguration(Configuration(current.revision, current.services))
        if (current.drainVersion > told.drainVersion) {
            onDrainRecord(DrainInput.RecordLearned(DrainRecord(current.drainVersion, current.drains)))
        }
        told = current
    }

    /** This instance with its disk, as a member of the store. */
    fun member() = disk.member(runtime.self, runtime.settings.failureDomain, runtime.settings.listen)

    private companion object {
        const val LOG_FOLDER = "log"
        const val SEND_TIMEOUT_MS = 1_000L
    }
}
