package samphirechute.serving.cluster

import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.serializer
import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.net.peer.PeerRoute
import samphirechute.routing.placing.Placement
import samphirechute.routing.placing.PlacementRequest
import samphirechute.routing.placing.PlacementResult
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.raft.RaftMessage

/** All paths between instances. */
object ClusterRoutes {
    val raft = PeerRoute("/peer/v1/raft", RaftMessage.serializer(), Unit.serializer())
    val commands = PeerRoute("/peer/v1/commands", Command.serializer(), CommandReply.serializer())
    val read = PeerRoute("/peer/v1/configuration", Unit.serializer(), ReadReply.serializer())
    val watch = PeerRoute("/peer/v1/watch", WatchRequest.serializer(), WatchReply.serializer())
    val config = PeerRoute("/peer/v1/watch/configuration", ConfigRequest.serializer(), ConfigReply.serializer())
    val leaving = PeerRoute("/peer/v1/leaving", LeavingNotice.serializer(), Unit.serializer())
    val place = PeerRoute("/peer/v1/place", PlacementRequest.serializer(), PlacementReply.serializer())
    val await = PeerRoute("/peer/v1/place/await", AwaitRequest.serializer(), PlacementReply.serializer())
    val ends = PeerRoute("/peer/v1/place/ends", PlacementReport.serializer(), Unit.serializer())
}

/** What became of a command at a control instance. */
@Serializable
data class CommandReply(
    val status: CommandStatus,
    val result: CommandResult? = null,
    val leader: InstanceId? = null,
)

@Serializable
enum class CommandStatus { COMMITTED, NOT_LEADER, REFUSED, UNKNOWN }

/** [isConfirmed] is false at an instance that cannot be sure of the newest configuration. */
@Serializable
data class ReadReply(
    val isConfirmed: Boolean,
    val config: PackedConfig? = null,
)

/** Asks a control instance for all that is newer than what the sender has. The answer may take up to a second. */
@Serializable
data class WatchRequest(
    val from: InstanceId,
    val isEntry: Boolean,
    /** The newest revision that the sender holds or has heard of from this control instance. */
    val revision: Long,
    val drainVersion: Long,
    /** The life of the control instance that [recordsVersion] belongs to. */
    val life: Long,
    /** [NO_RECORDS] when the sender gets the records of upstreams from others. */
    val recordsVersion: Long,
    /** The leader that the control instance named last while it was in touch with it. */
    val leader: InstanceId? = null,
    /** Upstreams that leave or have left, for a control instance that has started and may have forgotten them. */
    val departed: List<UpstreamRecord> = emptyList(),
) {
    companion object {
        const val NO_RECORDS = Long.MAX_VALUE
    }
}

@Serializable
data class WatchReply(
    val life: Long,
    val recordsVersion: Long,
    val records: List<UpstreamRecord> = emptyList(),
    /** The newest revision that the control instance holds. Its content comes from the leader, or is fetched apart. */
    val revision: Long = 0,
    /** The content of [revision], for an entry instance that has not heard of it from the leader, which sends this. */
    val config: PackedConfig? = null,
    val drains: DrainedDomains? = null,
    val leader: InstanceId? = null,
    val members: List<InstanceId> = emptyList(),
    /** True while the instance leads or has just heard from the leader. */
    val isCurrent: Boolean,
    /** The number of entry instances that watch. */
    val entries: Int,
)

/** Asks for the configuration, unless it is no newer than [revision]. */
@Serializable
data class ConfigRequest(
    val revision: Long,
)

@Serializable
data class ConfigReply(
    val config: PackedConfig? = null,
)

/** An upstream leaves or has left. [record] is null when the sender has never heard of it before. */
@Serializable
data class LeavingNotice(
    val upstream: UpstreamId,
    val record: UpstreamRecord?,
)

@Serializable
data class DrainedDomains(
    val version: Long,
    val domains: Set<FailureDomain>,
)

@Serializable
data class AwaitRequest(
    val request: RequestId,
)

/** Exactly one of the parts is set: a decision, word that the request waits, or who decides. */
@Serializable
data class PlacementReply(
    val placement: Placement? = null,
    val isWaiting: Boolean = false,
    val coordinator: InstanceId? = null,
)

/** Requests of the instance [from] that have ended, that it has placed itself, and that no longer wait. */
@Serializable
data class PlacementReport(
    val from: InstanceId,
    val results: List<PlacementResult> = emptyList(),
    val own: List<RunningPlacement> = emptyList(),
    val withdrawn: List<RequestId> = emptyList(),
    /** True when [own] names everything that the instance has running, as it does for a new coordinator. */
    val isWhole: Boolean = false,
)

@Serializable
data class RunningPlacement(
    val request: PlacementRequest,
    val upstream: UpstreamId,
)
