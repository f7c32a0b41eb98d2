package samphirechute.serving.control

import samphirechute.serving.cluster.CommandReply
import samphirechute.state.command.Command

/**
 * Merges equal proposals of a configuration. While the log is slow, operators send one configuration again and to
 * several instances; each repetition waits for the outcome of the first proposal instead of adding an entry to the log.
 */
internal class PendingConfigProposals(
    private val send: (Command, (CommandReply) -> Unit) -> Unit,
) {
    private val callbacks = HashMap<Command.AdoptConfig, MutableList<(CommandReply) -> Unit>>()

    fun propose(
        command: Command.AdoptConfig,
        onReply: (CommandReply) -> Unit,
    ) {
        val pending = callbacks[command]
        if (pending != null) {
            pending += onReply
            return
        }
        callbacks[command] = mutableListOf(onReply)
        send(command) { reply -> callbacks.remove(command).orEmpty().forEach { it(reply) } }
    }
}
