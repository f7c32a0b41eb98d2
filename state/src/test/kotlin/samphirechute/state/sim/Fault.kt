package samphirechute.state.sim

import samphirechute.state.command.Command
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftMessage
import samphirechute.state.raft.RaftOutput
import samphirechute.state.sim.SimCluster.SimNode

private const val DAY_MS = 86_400_000L

/** An output of a member at which a fault can be injected, before the output is executed. */
internal enum class Step(
    val matches: (SimNode, RaftOutput) -> Boolean,
) {
    VOTE({ _, it -> it is RaftOutput.Write && it.write.hardState?.votedFor != null && it.write.snapshot == null }),
    LEADER_APPEND({ node, it -> node.leads() && it is RaftOutput.Write && it.write.entries.isNotEmpty() }),
    FOLLOWER_APPEND({ node, it -> !node.leads() && it is RaftOutput.Write && it.write.entries.isNotEmpty() }),
    ACKNOWLEDGE({ _, it -> (it.message() as? RaftMessage.AppendReply)?.let { reply -> reply.matchIndex > 0 } == true }),
    COMMIT({ node, it -> node.leads() && it is RaftOutput.Apply }),
    ANSWER({ _, it -> it is RaftOutput.Answer && it.outcome is ProposalOutcome.Committed }),
    SNAPSHOT_WRITE({ _, it -> it is RaftOutput.Write && it.write.snapshot != null }),
    SNAPSHOT_SEND({ _, it -> it.message() is RaftMessage.SnapshotRequest }),
    SNAPSHOT_REPLY({ _, it -> it.message() is RaftMessage.SnapshotReply }),
    INSTALL({ _, it -> it is RaftOutput.SnapshotInstalled }),
    REMOVE_MEMBER({ node, it -> node.leads() && it.hasEntry { command -> command is Command.RemoveMember } }),
    ADD_MEMBER({ node, it -> node.leads() && it.hasEntry { command -> command is Command.AddMember } }),
    MEMBER_ADDED({ _, it -> it is RaftOutput.Apply && it.entries.any { entry -> entry.command is Command.AddMember } }),
}

/** A fault that can be injected into one member or the network. [SimCluster.heal] repairs it. */
internal enum class Fault(
    val trigger: SimCluster.(SimNode) -> Unit,
) {
    KILL({ it.kill() }),
    RESTART({ it.restart() }),
    WIPE({ if (isFullyReplicated) it.wipe() }),
    FULL_DISK({ it.folder?.freeBytes = 3 }),
    FAILING_SYNC({ it.folder?.failing = "sync" to 0 }),
    TORN_WRITE({
        it.folder?.freeBytes = random.nextLong(TORN_BYTES)
        it.isKilledOnStop = true
    }),
    HUNG_DISK({ it.isDiskHung = true }),
    CUT_OUTGOING({ node -> nodes.keys.forEach { network.cut(node.instance, it) } }),
    CUT_INCOMING({ node -> nodes.keys.forEach { network.cut(it, node.instance) } }),
    ISOLATE({ node ->
        nodes.keys.forEach {
            network.cut(node.instance, it)
            network.cut(it, node.instance)
        }
    }),
    DELAY({ network.maxDelayMs = 250 }),
    DUPLICATE({ network.duplicatePercent = 60 }),
    LOSS({ network.lossPercent = 30 }),
    CLOCK_FORWARD({ it.wallSkewMs = 2 * DAY_MS }),
    CLOCK_BACK({ it.wallSkewMs = -DAY_MS }),
}

private const val TORN_BYTES = 200L

private fun SimNode.leads() = raft?.isLeader == true

private fun RaftOutput.message() = (this as? RaftOutput.Send)?.message

private fun RaftOutput.hasEntry(matches: (Command) -> Boolean) =
    this is RaftOutput.Write && write.entries.any { it.term > 0 && matches(it.timed.command) }
