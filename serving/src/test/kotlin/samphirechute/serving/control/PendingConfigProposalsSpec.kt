package samphirechute.serving.control

import samphirechute.serving.cluster.CommandReply
import samphirechute.serving.cluster.CommandStatus
import samphirechute.state.command.Command
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards the log against one entry for each repetition of a configuration. */
class PendingConfigProposalsSpec {
    private val sent = ArrayList<Pair<Command, (CommandReply) -> Unit>>()
    private val pending = PendingConfigProposals { command, onReply -> sent += command to onReply }
    private val replies = ArrayList<CommandStatus>()

    private fun propose(
        revision: Long,
        content: String = "content",
    ) = pending.propose(Command.AdoptConfig(revision, content)) { replies += it.status }

    private fun answer(
        index: Int,
        status: CommandStatus,
    ) = sent[index].second(CommandReply(status))

    @Test
    fun `a repetition waits for the first proposal and gets its outcome`() {
        repeat(3) { propose(1) }
        assertEquals(1, sent.size)
        answer(0, CommandStatus.COMMITTED)
        assertEquals(List(3) { CommandStatus.COMMITTED }, replies)
    }

    @Test
    fun `different content with the same revision is a separate proposal`() {
        propose(1, "one")
        propose(1, "other")
        assertEquals(2, sent.size)
    }

    @Test
    fun `a repetition after the outcome is proposed again`() {
        propose(1)
        answer(0, CommandStatus.NOT_LEADER)
        propose(1)
        assertEquals(2, sent.size)
    }
}
