package samphirechute.state.sim

import samphirechute.core.InstanceId
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftNode
import samphirechute.state.raft.RaftOutput
import samphirechute.state.sim.SimCluster.SimNode

/**
 * Operators that send configurations to any member that runs, which forwards them to the leader that it knows and
 * acknowledges as a control instance does: for its own committed state, or for the reply that the leader committed.
 * [contacts] are the machines that an operator may ask, also those that are no members.
 *
 * Checks each acknowledgement against the disks alone: enough of them must hold the committed entry so that no majority
 * of the members could elect a leader without it.
 */
internal class ConfigOperators(
    private val cluster: SimCluster,
    private val contacts: () -> Collection<SimNode>,
    private val report: (String) -> Unit,
) {
    private val random = cluster.random
    private val committed = sortedMapOf<Long, Committed>()
    private val pending = HashMap<Triple<RaftNode, Long, String>, MutableList<(Boolean) -> Unit>>()
    private var sent = 0L
    private var membersAt = 0L
    private var members = emptyList<samphirechute.state.command.StoreMember>()
    private var checked = 0

    /** The newest acknowledged revision. */
    var acknowledged = 0L
        private set

    /** Acknowledgements that were given. */
    var count = 0
        private set

    /** Called after each acknowledgement. */
    var onAcknowledged: () -> Unit = {}

    /** Called after each version that was sent. */
    var onSent: () -> Unit = {}

    init {
        cluster.onOutput = { node, output -> if (output is RaftOutput.Apply) record(node, output) }
    }

    fun start() = repeat(OPERATORS) { operate("operator $it") }

    /** The content that was first committed as [revision]. */
    fun contentOf(revision: Long) = committed[revision]?.content

    private fun operate(name: String) {
        val revision = if (random.nextInt(4) == 0) maxOf(1, sent) else sent + 1 + random.nextInt(3)
        sent = maxOf(sent, revision)
        send(revision, "$revision of $name at ${cluster.timer.nowMs()}", SENDINGS)
        onSent()
        cluster.timer.after(random.nextLong(MIN_PAUSE_MS, MAX_PAUSE_MS)) { operate(name) }
    }

    /** Sends it again, unchanged, to any member until it is acknowledged. */
    private fun send(
        revision: Long,
        content: String,
        sendings: Int,
    ) {
        val node = contacts().filter { it.raft != null && !it.isFrozen }.randomOrNull(random)
        var isDone = false
        val onResult = { isAcknowledged: Boolean ->
            if (!isDone) {
                isDone = true
                if (isAcknowledged) acknowledge(checkNotNull(node), revision)
                if (!isAcknowledged && sendings > 1) send(revision, content, sendings - 1)
            }
        }
        cluster.timer.after(OPERATOR_TIMEOUT_MS) { onResult(false) }
        if (node != null) adopt(node, checkNotNull(node.raft), Command.AdoptConfig(revision, content), onResult)
    }

    private fun adopt(
        node: SimNode,
        raft: RaftNode,
        command: Command.AdoptConfig,
        onResult: (Boolean) -> Unit,
    ) {
        if (command.revision <= (raft.state.adopted?.revision ?: 0)) return onResult(true)
        submit(node, raft, command, cluster.timer.nowMs() + SUBMIT_TIMEOUT_MS, onResult)
    }

    private fun submit(
        node: SimNode,
        raft: RaftNode,
        command: Command.AdoptConfig,
        deadlineMs: Long,
        onResult: (Boolean) -> Unit,
    ) {
        val remainingMs = deadlineMs - cluster.timer.nowMs()
        if (remainingMs <= 0) return onResult(false)
        submitOnce(node, raft, command, minOf(remainingMs, ATTEMPT_TIMEOUT_MS)) { isCommitted ->
            if (isCommitted) {
                onResult(true)
            } else {
                cluster.timer.after(RETRY_MS) {
                    whileAwake(node, raft) { submit(node, raft, command, deadlineMs, onResult) }
                }
            }
        }
    }

    private fun submitOnce(
        node: SimNode,
        raft: RaftNode,
        command: Command.AdoptConfig,
        timeoutMs: Long,
        onReply: (Boolean) -> Unit,
    ) {
        val leader = raft.leader?.instance?.takeIf { !raft.isLeader } ?: return propose(node, raft, command, onReply)
        var isAnswered = false
        val answer = { isCommitted: Boolean ->
            if (!isAnswered) {
                isAnswered = true
                onReply(isCommitted)
            }
        }
        cluster.timer.after(timeoutMs) { whileAwake(node, raft) { answer(false) } }
        cluster.network.transmit(node.instance, leader) {
            val asked = cluster.nodes[leader]
            val askedRaft = asked?.raft ?: return@transmit
            whileAwake(asked, askedRaft) {
                propose(asked, askedRaft, command) { isCommitted ->
                    cluster.network.transmit(leader, node.instance) { whileAwake(node, raft) { answer(isCommitted) } }
                }
            }
        }
    }

    /** Equal proposals at one member wait for the outcome of the first. */
    private fun propose(
        node: SimNode,
        raft: RaftNode,
        command: Command.AdoptConfig,
        onReply: (Boolean) -> Unit,
    ) {
        val key = Triple(raft, command.revision, command.content)
        pending[key]?.let { waiting ->
            waiting += onReply
            return
        }
        pending[key] = mutableListOf(onReply)
        cluster.propose(node, command) { outcome ->
            pending.remove(key).orEmpty().forEach { it(outcome is ProposalOutcome.Committed) }
        }
    }

    /** Runs [action] on the process of [raft], after a freeze if there is one, and never if the process has ended. */
    private fun whileAwake(
        node: SimNode,
        raft: RaftNode,
        action: () -> Unit,
    ) {
        when {
            node.raft !== raft -> Unit
            node.isFrozen -> cluster.timer.after(FROZEN_RETRY_MS) { whileAwake(node, raft, action) }
            else -> action()
        }
    }

    private fun record(
        node: SimNode,
        applied: RaftOutput.Apply,
    ) {
        for (entry in applied.entries) {
            val command = entry.command as? Command.AdoptConfig ?: continue
            if ((entry.result as? CommandResult.Adopted)?.isChanged != true) continue
            val next = Committed(entry.index, entry.term, command.content)
            val first = committed.getOrPut(command.revision) { next }
            if (first != next) report("${node.instance} committed $next as ${command.revision} after $first")
        }
        val state = node.raft?.state ?: return
        if (state.index <= membersAt) return
        membersAt = state.index
        members = state.members
    }

    private fun acknowledge(
        at: SimNode,
        revision: Long,
    ) {
        count++
        acknowledged = maxOf(acknowledged, revision)
        if (checked++ % CHECKED_SHARE == 0) checkDisks(at, revision)
        onAcknowledged()
    }

    private fun checkDisks(
        at: SimNode,
        revision: Long,
    ) {
        val entry = committed.entries.firstOrNull { it.key >= revision }?.value
        if (entry == null) return report("${at.instance} acknowledged $revision, which was not committed")
        val disks =
            members.mapNotNull { voter ->
                cluster.nodes[voter.instance]?.takeIf { it.diskId == voter.diskId }?.let { it.disk as FileDisk }
            }
        val holding = disks.count { it.holds(entry) }
        val majority = members.size / 2 + 1
        if (disks.size - holding >= majority) {
            report("${at.instance} acknowledged $revision, $holding of ${members.size} disks hold $entry")
        }
    }

    private fun FileDisk.holds(entry: Committed): Boolean {
        val durable = durable()
        return durable.state.index >= entry.index ||
            durable.entries.any { it.index == entry.index && it.term == entry.term }
    }

    private data class Committed(
        val index: Long,
        val term: Long,
        val content: String,
    )

    private companion object {
        const val OPERATORS = 2
        const val MIN_PAUSE_MS = 20L
        const val MAX_PAUSE_MS = 600L
        const val SENDINGS = 3
        const val CHECKED_SHARE = 8

        /** As operators and control instances have them. */
        const val OPERATOR_TIMEOUT_MS = 1_000L
        const val SUBMIT_TIMEOUT_MS = 900L
        const val ATTEMPT_TIMEOUT_MS = 600L
        const val RETRY_MS = 50L
        const val FROZEN_RETRY_MS = 20L
    }
}
