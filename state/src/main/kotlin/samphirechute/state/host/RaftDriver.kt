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
import samphirechute.state.raft.DiskIdentity
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftInput
import samphirechute.state.raft.RaftMessage
import samphirechute.state.raft.RaftNode
import samphirechute.state.raft.RaftOutput
import samphirechute.state.store.StoreState

/**
 * Runs a [RaftNode] on the event loop: passes it ticks, messages and disk results, and executes its outputs. It owns
 * the [DiskThread]. The controllers that host a store member propose commands and read the state through it.
 *
 * [post] runs an action on the event loop and may be called from any thread.
 */
class RaftDriver(
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
    private val diskWatch = DiskWatch()

    /** What is left to do for the inputs so far, in order. */
    private val steps = ArrayDeque<() -> Unit>()
    private var isExecuting = false

    var onApplied: (List<AppliedEntry>) -> Unit = {}
    var onSnapshotInstalled: () -> Unit = {}

    /** Called when this member becomes able to answer reads by its lease, and when it no longer is. */
    var onReadabilityChanged: (Boolean) -> Unit = {}

    /** Called with the term when this member becomes leader and when it loses leadership. */
    var onLeadershipChanged: (term: Long, isLeading: Boolean) -> Unit = { _, _ -> }

    /** Called when this member asks the others for pre-votes or votes. */
    var onCampaign: (RaftOutput.Campaigning) -> Unit = {}

    /** Called when this member learns that the disk of a voter is lost. */
    var onDiskLost: (DiskIdentity) -> Unit = {}

    /** Called when the addition of a member ends without a result. */
    var onAdditionEnded: (RaftOutput.AdditionEnded) -> Unit = {}

    /** Called when the known leader changes, also to none. */
    var onLeaderChanged: () -> Unit = {}

    /** Called when the disk has failed. This member then does nothing more. */
    var onStopped: (reason: String) -> Unit = {}

    fun start() {
        timer.every(TICK_MS) {
            handle(RaftInput.Tick(System.currentTimeMillis()))
            diskWatch.tick(node, timer.nowMs())
        }
    }

    fun receive(message: RaftMessage) = handle(RaftInput.Received(message))

    /** Proposes a command. [onOutcome] is called exactly once with its outcome. */
    fun propose(
        command: Command,
        onOutcome: (ProposalOutcome) -> Unit,
    ) {
        val token = ++lastToken
        answers[token] = onOutcome
        handle(RaftInput.Propose(token, command))
    }

    /**
     * Passes [onState] the latest state once a majority has confirmed that this member leads, or null if it does not.
     */
    fun confirmedRead(onState: (StoreState?) -> Unit) {
        val token = ++lastToken
        reads[token] = onState
        handle(RaftInput.ConfirmRead(token))
    }

    override fun close() = diskThread.close()

    /**
     * An input from a callback waits until the outputs of the one before are executed, since writes have an order. If a
     * callback throws, the outputs behind it are still executed: the node counts on each write and each message.
     */
    private fun handle(input: RaftInput) {
        steps += { process(input) }
        if (isExecuting) return
        isExecuting = true
        val errors = ArrayList<Throwable>()
        try {
            while (steps.isNotEmpty()) runCatching(steps.removeFirst()).onFailure(errors::add)
        } finally {
            isExecuting = false
        }
        errors.firstOrNull()?.let { first ->
            throw first.apply { errors.filter { it !== first }.forEach(::addSuppressed) }
        }
    }

    private fun process(input: RaftInput) {
        node.handle(input, timer.nowMs()).forEach { output -> steps += { execute(output) } }
        steps += ::notifyIfLeaderChanged
        steps += ::notifyIfReadabilityChanged
    }

    private fun notifyIfReadabilityChanged() {
        val isReadableNow = node.readableState(timer.nowMs()) != null
        if (isReadableNow == isReadable) return
        isReadable = isReadableNow
        onReadabilityChanged(isReadableNow)
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
            is RaftOutput.SnapshotInstalled -> onSnapshotInstalled()
            is RaftOutput.Answer -> answers.remove(output.token)?.invoke(output.outcome)
            is RaftOutput.ReadChecked -> reads.remove(output.token)?.invoke(node.state.takeIf { output.isConfirmed })
            is RaftOutput.LeadershipGained -> onLeadershipChanged(output.term, true)
            is RaftOutput.LeadershipLost -> onLeadershipChanged(output.term, false)
            is RaftOutput.Campaigning -> onCampaign(output)
            is RaftOutput.DiskLost -> onDiskLost(output.disk)
            is RaftOutput.AdditionEnded -> onAdditionEnded(output)
            is RaftOutput.Stopped -> onStopped(output.reason)
        }
    }

    private companion object {
        const val TICK_MS = 20L
    }
}

/** Describes this instance with this disk as a member of the store. */
fun StoreDisk.member(
    instance: InstanceId,
    failureDomain: FailureDomain,
    address: HostPort,
) = StoreMember(instance, failureDomain, address, diskId)
