package samphirechute.serving.control

import samphirechute.serving.cluster.CommandReply
import samphirechute.state.command.Command

/**
 * Configurations that this instance has proposed and that are not committed yet. The load that it answers is operators that
 * resend one to several instances while the log is slow: each resend waits for the first proposal and adds none.
 */
internal class PendingAdoptions(
    private val send: (Command, (CommandReply) -> Unit) -> Unit,
) {
    private val waiting = HashMap<Command.AdoptConfig, MutableList<(CommandReply) -> Unit>>()

    fun propose(
        command: Command.AdoptConfig,
        onReply: (CommandReply) -> Unit,
    ) {
        val known = waiting[command]
        if (known != null) {
            known += onReply
            return
        }
        waiting[command] = mutableListOf(onReply)
        send(command) { reply -> waiting.remove(command).orEmpty().forEach { it(reply) } }
    }
}
