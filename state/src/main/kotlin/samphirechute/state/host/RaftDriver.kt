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
class RaftDriver(
    private val timer: TimerService,
    disk: StoreDisk,
    post: (() -> Unit) -> Unit,
    private val onSend: (InstanceId, RaftMessage) -> Unit,
    createNode: () -> RaftNode,
) : AutoCloseable {
    val node: RaftNode = createNode()
    private val diskThread = DiskThread(disk) { input -> post { feed(input) } }
    private val answers = HashMap<Long, (ProposalOutcome) -> Unit>()
    private val reads = HashMap<Long, (StoreState?) -> Unit>()
    private var lastToken = 0L
    private var isCurrent = false
    private var leader: InstanceId? = null

    var onApplied: (List<AppliedEntry>) -> Unit = {}
    var onSnapshotInstalled: () -> Unit = {}

    /** Called when this member becomes able to answer reads by its lease, or no longer is. */
    var onReadabilityChanged: (Boolean) -> Unit = {}

    /** Called with the term when this member becomes leader, and when it is one no longer. */
    var onLeadershipChanged: (term: Long, isLeading: Boolean) -> Unit = { _, _ -> }

    /** Called when this member asks the others for their votes. */
    var onCampaign: (RaftOutput.Campaigning) -> Unit = {}

    /** Called when this member follows another leader, or none. */
    var onLeaderChanged: () -> Unit = {}

    /** Called when the disk failed, after which this member does nothing more. */
    var onStopped: (reason: String) -> Unit = {}

    fun start() {
        timer.every(TICK_MS) { feed(RaftInput.Tick(System.currentTimeMillis())) }
    }

    fun receive(message: RaftMessage) = feed(RaftInput.Received(message))

    /** Gives a command to the log; [onOutcome] is called once. */
    fun propose(
        command: Command,
        onOutcome: (ProposalOutcome) -> Unit,
    ) {
        val token = ++lastToken
        answers[token] = onOutcome
        feed(RaftInput.Propose(token, command))
    }

    /** Gives the newest state once a majority has confirmed that this member leads, or null when it does not lead. */
    fun confirmedRead(onState: (StoreState?) -> Unit) {
        val token = ++lastToken
        reads[token] = onState
        feed(RaftInput.ConfirmRead(token))
    }

    override fun close() = diskThread.close()

    private fun feed(input: RaftInput) {
        node.handle(input, timer.nowMs()).forEach(::execute)
        noticeLeader()
        val isNow = node.readableState(timer.nowMs()) != null
        if (isNow == isCurrent) return
        isCurrent = isNow
        onReadabilityChanged(isNow)
    }

    private fun noticeLeader() {
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
            is RaftOutput.Installed -> onSnapshotInstalled()
            is RaftOutput.Answer -> answers.remove(output.token)?.invoke(output.outcome)
            is RaftOutput.ReadChecked -> reads.remove(output.token)?.invoke(node.state.takeIf { output.isConfirmed })
            is RaftOutput.LeadershipGained -> onLeadershipChanged(output.term, true)
            is RaftOutput.LeadershipLost -> onLeadershipChanged(output.term, false)
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
