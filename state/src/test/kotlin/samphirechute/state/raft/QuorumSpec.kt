package samphirechute.state.raft

import org.junit.jupiter.api.Nested
import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.command.TimedCommand
import samphirechute.state.sim.SimCluster
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class QuorumSpec {
    private val members = SimCluster(1, listOf("a", "b", "c", "d")).nodes.values.map { it.member }
    private val disks = members.map { it.identity }
    private val founding =
        members.mapIndexed { position, member ->
            val add = Command.AddMember(OperationId("$position"), member)
            LogEntry(position + 1L, 0, TimedCommand(0, add))
        }

    private fun node(entries: List<LogEntry> = founding) =
        RaftNode(
            members[0],
            members.map { it.instance }.toSet(),
            RestoredLog(HardState(1), entries = entries),
            Random(1),
            startMs = 0,
            RaftTimings(hasLeaseReads = false),
        )

    private fun RaftNode.receive(message: RaftMessage) = handle(RaftInput.Received(message), NOW_MS)

    private fun List<RaftOutput>.writes() = filterIsInstance<RaftOutput.Write>().map { it.write.sequence }

    /** The machine of [lost] says that it has another disk. */
    private fun lost(lost: DiskIdentity) = RaftMessage.DiskLost(lost.copy(diskId = "new"), 0, lost)

    /** Makes the vote of the node itself durable, which it needs before it counts. */
    private fun RaftNode.campaign(
        grants: List<DiskIdentity>,
        lostDisks: List<DiskIdentity> = emptyList(),
    ) {
        handle(RaftInput.Tick(0), NOW_MS)
        val outputs =
            lostDisks.flatMap { receive(lost(it)) } +
                grants.flatMap { receive(RaftMessage.PreVoteReply(it, 2, true)) }
        outputs.writes().forEach { handle(RaftInput.DiskDone(it), NOW_MS) }
    }

    @Nested
    inner class FourVoters {
        /** Guards against a store that stops for good when one of four was removed and the disk of another one is lost. */
        @Test
        fun `two elect a leader once a third one is known to have lost its disk`() {
            val node = node()
            node.campaign(listOf(disks[1]), listOf(disks[2]))
            node.receive(RaftMessage.VoteReply(disks[1], 2, true))
            assertTrue(node.isLeader)
        }

        /** Guards against two leaders in one term: the votes may have been given before either disk was lost. */
        @Test
        fun `votes that were asked for before a disk was known to be lost are not enough afterwards`() {
            val node = node()
            node.campaign(listOf(disks[1], disks[2]))
            node.receive(RaftMessage.VoteReply(disks[1], 2, true))
            node.receive(lost(disks[3]))
            node.receive(RaftMessage.VoteReply(disks[1], 2, true))
            assertFalse(node.isLeader)
            node.receive(RaftMessage.VoteReply(disks[2], 2, true))
            assertTrue(node.isLeader)
        }

        /** Guards against a silent half that is taken for lost. */
        @Test
        fun `two are not enough while none of the others is known to have lost its disk`() {
            val node = node()
            node.campaign(listOf(disks[1]))
            node.receive(RaftMessage.VoteReply(disks[1], 2, true))
            assertFalse(node.isLeader)
        }

        /** Guards against a message of an earlier disk of the machine that comes late. */
        @Test
        fun `a greeting of another disk does not show that the disk of a voter is lost`() {
            val node = node()
            val other = members[2].copy(diskId = "other")
            node.receive(RaftMessage.Hello(other.identity, 0, other, isEmpty = true, inReplyTo = null))
            node.campaign(listOf(disks[1]))
            node.receive(RaftMessage.VoteReply(disks[1], 2, true))
            assertFalse(node.isLeader)
        }

        @Test
        fun `a machine answers for its own earlier disk only`() {
            val node = node()
            val own = disks[0].copy(diskId = "earlier")

            fun answerTo(asked: DiskIdentity) =
                node
                    .receive(RaftMessage.VoteRequest(disks[1], 2, 9, 1, asked))
                    .filterIsInstance<RaftOutput.Send>()
                    .map { it.message }
                    .filterIsInstance<RaftMessage.DiskLost>()
            assertEquals(listOf(own), answerTo(own).map { it.lost })
            assertEquals(emptyList(), answerTo(disks[0]) + answerTo(disks[2]))
        }
    }

    @Nested
    inner class ChangedMemberships {
        private val removal =
            LogEntry(5, 1, TimedCommand(0, Command.RemoveMember(OperationId("removal"), disks[3].instance)))

        /** Guards against two leaders: of the new three voters, two are not always among half of the old four. */
        @Test
        fun `a quorum of both memberships is needed until the change is known to be committed`() {
            val node = node(founding + removal)
            node.campaign(listOf(disks[1]))
            node.receive(RaftMessage.VoteReply(disks[1], 2, true))
            assertFalse(node.isLeader)
        }

        /** Guards against a restart after which the store waits for members that were removed long before. */
        @Test
        fun `the log shows after a restart that a change was committed`() {
            val node = node(founding + removal + LogEntry(6, 1, TimedCommand(0, Command.Noop)))
            node.campaign(listOf(disks[1]))
            node.receive(RaftMessage.VoteReply(disks[1], 2, true))
            assertTrue(node.isLeader)
        }
    }

    private companion object {
        const val NOW_MS = 1_000L
    }
}
