package samphirechute.state.raft

import org.junit.jupiter.api.Nested
import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.command.TimedCommand
import samphirechute.state.sim.SimCluster
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class CommitRuleSpec {
    private val members = SimCluster(1).nodes.values.map { it.member }
    private val other = members[1].identity
    private val entries =
        members.mapIndexed {
            position,
            it,
            ->
            LogEntry(position + 1L, 0, TimedCommand(0, Command.AddMember(OperationId("$position"), it)))
        }
    private val restored = RestoredLog(HardState(1), entries = entries + LogEntry(4, 1, TimedCommand(0, Command.Noop)))
    private val peers = members.map { it.instance }.toSet()
    private val node = RaftNode(members[0], peers, restored, Random(1), startMs = 0)

    private fun handle(input: RaftInput): Long? =
        node
            .handle(input, 1_000)
            .filterIsInstance<RaftOutput.Write>()
            .lastOrNull()
            ?.write
            ?.sequence

    private fun acknowledge(index: Long) =
        handle(RaftInput.Received(RaftMessage.AppendReply(other, 2, true, index, index, index, 1_000, 0)))

    @Nested
    inner class EarlierTerms {
        /**
         * Guards against committing an entry of an earlier term that a majority has but a later leader may still
         * replace.
         */
        @Test
        fun `an entry of an earlier term is committed only together with one of the leader's own term`() {
            handle(RaftInput.Tick(0))
            val vote = checkNotNull(handle(RaftInput.Received(RaftMessage.PreVoteReply(other, 2, true))))
            handle(RaftInput.DiskDone(vote))
            val noop = checkNotNull(handle(RaftInput.Received(RaftMessage.VoteReply(other, 2, true))))
            acknowledge(index = 4)
            assertEquals(listOf(true, 0L), listOf(node.isLeader, node.commitIndex))
            acknowledge(index = 5)
            handle(RaftInput.DiskDone(noop))
            assertEquals(5, node.commitIndex)
        }
    }
}
