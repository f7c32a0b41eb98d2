package samphirechute.state.raft

import samphirechute.state.command.Command

/** The events that [RaftNode.handle] processes. */
sealed class RaftInput {
    /** A command to commit. The answer contains [token], which must be unique within this process. */
    data class Propose(
        val token: Long,
        val command: Command,
    ) : RaftInput()

    /** A read of the latest state. It is answered once a majority has confirmed that this member still leads. */
    data class ConfirmRead(
        val token: Long,
    ) : RaftInput()

    data class Received(
        val message: RaftMessage,
    ) : RaftInput()

    /** Every write up to [sequence] is durable. */
    data class DiskDone(
        val sequence: Long,
    ) : RaftInput()

    /** The disk refuses the oldest write for now, for example because it is full. It is tried again until it is done. */
    data object DiskRefused : RaftInput()

    /** A write failed. The member stops, because the contents of its disk are now unknown. */
    data class DiskFailed(
        val reason: String,
    ) : RaftInput()

    /** The passage of time, expected every 10 to 50 ms. [wallMs] is the wall clock in milliseconds since 1970. */
    data class Tick(
        val wallMs: Long,
    ) : RaftInput()
}
