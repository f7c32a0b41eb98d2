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

/**
 * Runs this instance's member of the replicated log: its messages, its disk, and the callbacks for what it commits.
 * Exists only on instances with store settings.
 */
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
    private var published = StoreState()

    var onConfiguration: (Configuration) -> Unit = {}
    var onDrainRecord: (DrainInput) -> Unit = {}
    var onReadabilityChanged: (Boolean) -> Unit = {}
    var onApplied: (AppliedEntry) -> Unit = {}

    /** Called when the disk failed; this member has then stopped for good. */
    var onStopped: () -> Unit = {}

    /** Called with the term when this member becomes leader, and with null when it stops being leader. */
    var onLeadershipChanged: (Long?) -> Unit = {}

    val state: StoreState get() = node.state
    val isLeader: Boolean get() = node.isLeader

    /** False while this instance's disk is not in the membership, as after it was wiped. */
    val isVoter: Boolean get() = node.isVoter

    /** The time until which no other member can become leader. */
    fun leaseUntilMs() = node.leaseUntilMs()

    fun start() {
        driver.onApplied = ::handleApplied
        driver.onSnapshotInstalled = ::publishChanges
        driver.onReadabilityChanged = { onReadabilityChanged(it) }
        driver.onLeadershipChanged = ::handleLeadershipChanged
        driver.onStopped = ::handleStopped
        driver.start()
        publishChanges()
    }

    fun serve(api: PeerApi) {
        api.on(PeerRoutes.raft) { message, exchange ->
            exchange.answer(Unit)
            driver.receive(message)
        }
        api.on(PeerRoutes.commands) { command, exchange -> propose(command, exchange::answer) }
    }

    /** Proposes a command to the log; [onReply] is called once. */
    fun propose(
        command: Command,
        onReply: (CommandReply) -> Unit,
    ) {
        driver.propose(withFencingNumber(command)) { onReply(toReply(it)) }
    }

    /** An order gets the current term of the leader as its fencing number. */
    private fun withFencingNumber(command: Command) =
        if (command is Command.IssueOrder) command.copy(fencingNumber = node.term) else command

    fun view() = StoreView(node.leader?.instance, node.term)

    override fun close() = driver.close()

    private fun handleApplied(entries: List<AppliedEntry>) {
        publishChanges()
        entries.forEach(onApplied)
    }

    private fun handleStopped(reason: String) {
        runtime.ring.record("store_stopped", null, "reason" to reason)
        onStopped()
    }

    private fun handleLeadershipChanged(
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

    private fun toReply(outcome: ProposalOutcome) =
        when (outcome) {
            is ProposalOutcome.Committed -> CommandReply(CommandOutcome.COMMITTED, outcome.result)
            is ProposalOutcome.NotLeader -> CommandReply(CommandOutcome.NOT_LEADER, leader = outcome.leader?.address)
            is ProposalOutcome.Refused -> CommandReply(CommandOutcome.REFUSED, message = outcome.message)
            ProposalOutcome.Unknown -> CommandReply(CommandOutcome.UNKNOWN)
        }

    /** Passes on the configuration and the drains if they changed since the last call. */
    private fun publishChanges() {
        val current = node.state
        if (current.revision > published.revision) onConfiguration(Configuration(current.revision, current.services))
        if (current.drainVersion > published.drainVersion) {
            onDrainRecord(DrainInput.RecordLearned(DrainRecord(current.drainVersion, current.drains)))
        }
        published = current
    }

    /** The store member that this instance and its disk form. */
    fun member() = disk.member(runtime.self, runtime.settings.failureDomain, runtime.settings.listen)

    private companion object {
        const val LOG_FOLDER = "log"
        const val SEND_TIMEOUT_MS = 1_000L
    }
}
