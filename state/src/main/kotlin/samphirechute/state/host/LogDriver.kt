package samphirechute.state.host

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.time.TimerService
import samphirechute.state.command.Command
import samphirechute.state.command.StoreMember
import samphirechute.state.disk.DiskThread
import samphirechute.state.disk.StoreDisk
import samphirechute.state.raft.AppliedEntry
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftInput
import samphirechute.state.raft.RaftMessage
import samphirechute.state.raft.RaftNode
import samphirechute.state.raft.RaftOutput
import samphirechute.state.store.StoreState

/**
 * Runs one member of the replicated log on the loop: feeds it time, messages and the results of its disk, and carries
 * out what it asks for. [post] runs an action on the loop and may be called from any thread.
 */
class LogDriver(
    private val timer: TimerService,
    disk: StoreDisk,
    post: (() -> Unit) -> Unit,
    private val onSend: (InstanceId, RaftMessage) -> Unit,
    createNode: () -> RaftNode,
) : AutoCloseable {
    val node: RaftNode = createNode()
    private val diskThread = DiskThread(disk) { input -> post { handle(input) } }
    private val answers = HashMap<Long, (ProposalOutcome) -> Unit>()
    private val reads = HashMap<Long, (StoreState?) -> Unit>()
    private var lastToken = 0L
    private var isReadable = false
    private var leader: InstanceId? = null

    var onApplied: (List<AppliedEntry>) -> Unit = {}
    var onInstalled: () -> Unit = {}

    /** Called when this member becomes able to answer reads by its lease, or no longer is. */
    var onCurrencyChanged: (Boolean) -> Unit = {}

    /** Called with the term when this member becomes leader, and when it is one no longer. */
    var onLeadership: (term: Long, isLeading: Boolean) -> Unit = { _, _ -> }

    /** Called when this member asks the others for their votes. */
    var onCampaign: (RaftOutput.Campaigning) -> Unit = {}

    /** Called when this member follows another leader, or none. */
    var onLeaderChanged: () -> Unit = {}

    /** Called when the disk failed, after which this member does nothing more. */
    var onStopped: (reason: String) -> Unit = {}

    fun start() {
        timer.every(TICK_MS) { handle(RaftInput.Tick(System.currentTimeMillis())) }
    }

    fun received(message: RaftMessage) = handle(RaftInput.Received(message))

    /** Gives a command to the log; [onOutcome] is called once. */
    fun propose(
        command: Command,
        onOutcome: (ProposalOutcome) -> Unit,
    ) {
        val token = ++lastToken
        answers[token] = onOutcome
        handle(RaftInput.Propose(token, command))
    }

    /** Gives the newest state once a majority has confirmed that this member leads, or null when it does not lead. */
    fun readConfirmed(onState: (StoreState?) -> Unit) {
        val token = ++lastToken
        reads[token] = onState
        handle(RaftInput.ConfirmRead(token))
    }

    override fun close() = diskThread.close()

    private fun handle(input: RaftInput) {
        node.handle(input, timer.nowMs()).forEach(::execute)
        notifyIfLeaderChanged()
        val isReadableNow = node.readableState(timer.nowMs()) != null
        if (isReadableNow == isReadable) return
        isReadable = isReadableNow
        onCurrencyChanged(isReadableNow)
    }

    private fun notifyIfLeaderChanged() {
        val next = node.leader?.instance
        if (next == leader) return
        leader = next
        onLeaderChanged()
    }

    private fun execute(output: RaftOutput) {
        when (output) {
            is RaftOutput.Send -> onSend(output.to, output.message)
            is RaftOutput.Write -> diskThread.submit(output.write)
            is RaftOutput.Apply -> onApplied(output.entries)
            is RaftOutput.SnapshotInstalled -> onInstalled()
            is RaftOutput.Answer -> answers.remove(output.token)?.invoke(output.outcome)
            is RaftOutput.ReadChecked -> reads.remove(output.token)?.invoke(node.state.takeIf { output.isConfirmed })
            is RaftOutput.LeadershipGained -> onLeadership(output.term, true)
            is RaftOutput.LeadershipLost -> onLeadership(output.term, false)
            is RaftOutput.Campaigning -> onCampaign(output)
            is RaftOutput.Stopped -> onStopped(output.reason)
        }
    }

    private companion object {
        const val TICK_MS = 20L
    }
}

/** This instance with its disk, as a member of the store. */
fun StoreDisk.member(
    instance: InstanceId,
    failureDomain: FailureDomain,
    address: HostPort,
) = StoreMember(instance, failureDomain, address, diskId)
