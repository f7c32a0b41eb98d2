package samphirechute.daemon.controller

import samphirechute.core.InstanceId
import samphirechute.core.api.StoreView
import samphirechute.core.settings.PeerSettings
import samphirechute.core.settings.StoreSettings
import samphirechute.daemon.Runtime
import samphirechute.daemon.peer.CommandOutcome
import samphirechute.daemon.peer.CommandReply
import samphirechute.daemon.peer.PeerApi
import samphirechute.daemon.peer.PeerClient
import samphirechute.daemon.peer.PeerRoutes
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember
import samphirechute.state.disk.DiskThread
import samphirechute.state.disk.NioFolder
import samphirechute.state.disk.StoreDisk
import samphirechute.state.drain.DrainInput
import samphirechute.state.drain.DrainRecord
import samphirechute.state.raft.AppliedEntry
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftInput
import samphirechute.state.raft.RaftNode
import samphirechute.state.raft.RaftOutput
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
    private val diskThread = DiskThread(disk) { input -> runtime.loop.post { feed(input) } }
    private val node: RaftNode =
        RaftNode(member(), stores.keys, disk.restored, Random(runtime.incarnation), runtime.nowMs)
    private val answers = HashMap<Long, (CommandReply) -> Unit>()
    private var lastToken = 0L
    private var told = StoreState()
    private var isCurrent = false

    var onConfiguration: (Configuration) -> Unit = {}
    var onDrainRecord: (DrainInput) -> Unit = {}
    var onCurrencyChanged: (Boolean) -> Unit = {}
    var onApplied: (AppliedEntry) -> Unit = {}

    /** Called when the disk failed, after which this member does nothing more. */
    var onStopped: () -> Unit = {}

    /** Called with the term when this member becomes leader, and with null when it is one no longer. */
    var onLeadership: (Long?) -> Unit = {}

    val state: StoreState get() = node.state
    val isLeader: Boolean get() = node.isLeader

    /** False while this instance's disk is not in the membership, as after it was wiped. */
    val isVoter: Boolean get() = node.isVoter

    /** The time until which no other member can lead. */
    fun leaseUntilMs() = node.leaseUntilMs()

    fun start() {
        runtime.timer.every(TICK_MS) { feed(RaftInput.Tick(System.currentTimeMillis())) }
        tell()
    }

    fun serve(api: PeerApi) {
        api.on(PeerRoutes.raft) { message, exchange ->
            exchange.answer(Unit)
            feed(RaftInput.Received(message))
        }
        api.on(PeerRoutes.commands) { command, exchange -> propose(command, exchange::answer) }
    }

    /** Gives a command to the log; [onReply] is called once. */
    fun propose(
        command: Command,
        onReply: (CommandReply) -> Unit,
    ) {
        val token = ++lastToken
        answers[token] = onReply
        feed(RaftInput.Propose(token, stamped(command)))
    }

    /** The term of the leader that issues an order is its fencing number. */
    private fun stamped(command: Command) =
        if (command is Command.IssueOrder) command.copy(fencingNumber = node.term) else command

    fun view() = StoreView(node.leader?.instance, node.term)

    override fun close() = diskThread.close()

    private fun feed(input: RaftInput) {
        node.handle(input, runtime.nowMs).forEach(::execute)
        updateCurrency()
    }

    private fun execute(output: RaftOutput) {
        when (output) {
            is RaftOutput.Send -> send(output)
            is RaftOutput.Write -> diskThread.submit(output.write)
            is RaftOutput.Apply -> applied(output.entries)
            is RaftOutput.Installed -> tell()
            is RaftOutput.Answer -> answers.remove(output.token)?.invoke(reply(output.outcome))
            is RaftOutput.LeadershipGained -> leadershipChanged("store_leader_elected", output.term, output.term)
            is RaftOutput.LeadershipLost -> leadershipChanged("store_leader_lost", output.term, null)
            is RaftOutput.Stopped -> stopped(output.reason)
        }
    }

    private fun applied(entries: List<AppliedEntry>) {
        tell()
        entries.forEach(onApplied)
    }

    private fun stopped(reason: String) {
        runtime.ring.record("store_stopped", null, "reason" to reason)
        onStopped()
    }

    private fun leadershipChanged(
        event: String,
        term: Long,
        leading: Long?,
    ) {
        runtime.ring.record(event, null, "term" to term)
        onLeadership(leading)
    }

    private fun send(output: RaftOutput.Send) {
        val address = stores[output.to]?.address ?: return
        peerClient.call(address, PeerRoutes.raft, output.message, SEND_TIMEOUT_MS) { }
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

    private fun updateCurrency() {
        val isNow = node.readableState(runtime.nowMs) != null
        if (isNow == isCurrent) return
        isCurrent = isNow
        onCurrencyChanged(isNow)
    }

    /** This instance with its disk, as a member of the store. */
    fun member() =
        StoreMember(
            runtime.self,
            runtime.settings.failureDomain,
            runtime.settings.listen,
            disk.diskId,
        )

    private companion object {
        const val LOG_FOLDER = "log"
        const val TICK_MS = 20L
        const val SEND_TIMEOUT_MS = 1_000L
    }
}
