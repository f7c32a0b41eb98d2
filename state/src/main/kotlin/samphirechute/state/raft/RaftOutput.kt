package samphirechute.state.raft

import samphirechute.core.InstanceId
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.command.StoreMember
import samphirechute.state.store.StoreState

/** What the caller of a [RaftNode] has to do, in this order. */
sealed class RaftOutput {
    /** Messages may be lost, repeated, delayed and reordered. */
    data class Send(
        val to: InstanceId,
        val message: RaftMessage,
    ) : RaftOutput()

    data class Write(
        val write: DiskWrite,
    ) : RaftOutput()

    /** Committed commands were applied, in order of their index. */
    data class Apply(
        val entries: List<AppliedEntry>,
    ) : RaftOutput()

    /** The state was replaced by a snapshot of the leader; the entries in between are not reported one by one. */
    data class SnapshotInstalled(
        val state: StoreState,
    ) : RaftOutput()

    data class Answer(
        val token: Long,
        val outcome: ProposalOutcome,
    ) : RaftOutput()

    /** The answer to [RaftInput.ConfirmRead]; when confirmed, this member's state is the newest. */
    data class ReadChecked(
        val token: Long,
        val isConfirmed: Boolean,
    ) : RaftOutput()

    /** This member leads, and its state holds everything committed before. [term] is its fencing number. */
    data class LeadershipGained(
        val term: Long,
    ) : RaftOutput()

    data class LeadershipLost(
        val term: Long,
    ) : RaftOutput()

    /** This member asks the others for their votes: first whether they would give them, then for the votes themselves. */
    data class Campaigning(
        val term: Long,
        val isPreVote: Boolean,
        /** Votes of the same kind that this member had got before. */
        val grantsBefore: Int,
        val needed: Int,
    ) : RaftOutput()

    /** This member has stopped for good and must be restarted. */
    data class Stopped(
        val reason: String,
    ) : RaftOutput()
}

/** One write to the disk, to be made durable in order of [sequence]. Its parts are applied in the order listed. */
data class DiskWrite(
    val sequence: Long,
    val hardState: HardState? = null,
    /** Starts a new file with this state as its base; [hardState] and [entries] are all that follows it. */
    val snapshot: StoreState? = null,
    /** Entries from this index on are void. */
    val truncateFrom: Long? = null,
    val entries: List<LogEntry> = emptyList(),
)

data class AppliedEntry(
    val index: Long,
    val term: Long,
    val command: Command,
    val result: CommandResult,
)

/** How a proposal ended. */
sealed class ProposalOutcome {
    data class Committed(
        val index: Long,
        val result: CommandResult,
    ) : ProposalOutcome()

    /** The command is in no log and never will be; [leader] is null when it is not known. */
    data class NotLeader(
        val leader: StoreMember?,
    ) : ProposalOutcome()

    /** The command is in no log and never will be, for the reason in [message]. */
    data class Refused(
        val code: String,
        val message: String,
    ) : ProposalOutcome()

    /** The command may or may not be committed. */
    data object Unknown : ProposalOutcome()
}
