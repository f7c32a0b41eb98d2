package samphirechute.state.raft

import kotlinx.serialization.Serializable
import samphirechute.core.InstanceId
import samphirechute.state.command.StoreMember
import samphirechute.state.command.TimedCommand
import samphirechute.state.store.StoreState

/** One command at its position in the replicated log. */
@Serializable
data class LogEntry(
    val index: Long,
    val term: Long,
    val timed: TimedCommand,
)

/** One disk of one instance. A wiped disk gets a new [diskId], so it cannot be mistaken for the disk it replaces. */
@Serializable
data class DiskIdentity(
    val instance: InstanceId,
    val diskId: String,
)

/** The term and the vote that a member must keep across restarts, as in the Raft paper. */
@Serializable
data class HardState(
    val term: Long = 0,
    val votedFor: DiskIdentity? = null,
)

/** The contents of the disk when a member starts. [entries] follow the snapshot [state] without a gap. */
data class RestoredLog(
    val hardState: HardState = HardState(),
    val state: StoreState = StoreState(),
    val entries: List<LogEntry> = emptyList(),
)

val StoreMember.identity: DiskIdentity get() = DiskIdentity(instance, diskId)
