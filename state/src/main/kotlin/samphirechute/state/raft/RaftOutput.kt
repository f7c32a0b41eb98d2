package samphirechute.state.raft

import samphirechute.core.InstanceId
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.command.StoreMember
import samphirechute.state.store.StoreState

/** An action or event that [RaftNode.handle] returns. The caller must execute them in order. */
sealed class RaftOutput {
    /** Send [message]. It may be lost, duplicated, delayed or reordered. */
    data class Send(
        val to: InstanceId,
        val message: RaftMessage,
    ) : RaftOutput()

    data class Write(
        val write: DiskWrite,
    ) : RaftOutput()

    /** Committed commands were applied, in the order of their indexes. */
    data class Apply(
        val entries: List<AppliedEntry>,
    ) : RaftOutput()

    /** The state was replaced with a snapshot from the leader. The entries it covers are not reported individually. */
    data class SnapshotInstalled(
        val state: StoreState,
    ) : RaftOutput()

    data class Answer(
        val token: Long,
        val outcome: ProposalOutcome,
    ) : RaftOutput()

    /** The answer to [RaftInput.ConfirmRead]. If confirmed, this member's state is the latest. */
    data class ReadChecked(
        val token: Long,
        val isConfirmed: Boolean,
    ) : RaftOutput()

    /** This member leads and has applied everything committed before. [term] is its fencing number. */
    data class LeadershipGained(
        val term: Long,
    ) : RaftOutput()

    data class LeadershipLost(
        val term: Long,
    ) : RaftOutput()

    /** This member asks the others for pre-votes or, after a majority of those, for votes. */
    data class Campaigning(
        val term: Long,
        val isPreVote: Boolean,
        /** Votes of the same kind that this member already had. */
        val grantsBefore: Int,
        val needed: Int,
        /** The disks of voters that this member knows to be lost. */
        val lostDisks: Set<DiskIdentity> = emptySet(),
    ) : RaftOutput()

    /** This member has learnt that [disk], which is that of a voter, is lost. */
    data class DiskLost(
        val disk: DiskIdentity,
    ) : RaftOutput()

    /** The addition of [member] ended without a result after [afterMs], for the reason in [code]. */
    data class AdditionEnded(
        val member: StoreMember,
        val code: String,
        val afterMs: Long,
    ) : RaftOutput()

    /** This member has stopped permanently and must be restarted. */
    data class Stopped(
        val reason: String,
    ) : RaftOutput()
}

/** One disk write. Writes must become durable in the order of [sequence], and the fields apply in the order listed. */
data class DiskWrite(
    val sequence: Long,
    val hardState: HardState? = null,
    /** Starts a new file based on this state, which continues with [hardState] and [entries] only. */
    val snapshot: StoreState? = null,
    /** Entries from this index on are removed from the log. */
    val truncateFrom: Long? = null,
    val entries: List<LogEntry> = emptyList(),
)

data class AppliedEntry(
    val index: Long,
    val term: Long,
    val command: Command,
    val result: CommandResult,
)

/** The outcome of a proposal. */
sealed class ProposalOutcome {
    data class Committed(
        val index: Long,
        val result: CommandResult,
    ) : ProposalOutcome()

    /** The command is in no log and never will be. [leader] is null if it is unknown. */
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
