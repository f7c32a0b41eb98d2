package samphirechute.serving.cluster

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.serializer
import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.net.peer.PeerRoute
import samphirechute.routing.placing.BusyUpstream
import samphirechute.routing.placing.Placement
import samphirechute.routing.placing.PlacementRequest
import samphirechute.routing.placing.PlacementResult
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.command.DrainTarget
import samphirechute.state.raft.RaftMessage
import samphirechute.state.store.StoreState

/** The paths that control instances serve for other instances, with the types of requests and replies. */
object ClusterRoutes {
    val raft = PeerRoute("/peer/v1/raft", RaftMessage.serializer(), Unit.serializer())
    val commands = PeerRoute("/peer/v1/commands", Command.serializer(), CommandReply.serializer())
    val readConfig = PeerRoute("/peer/v1/configuration", Unit.serializer(), ReadReply.serializer())
    val confirmRevision = PeerRoute("/peer/v1/revision", Unit.serializer(), RevisionReply.serializer())
    val readDrains = PeerRoute("/peer/v1/drains", Unit.serializer(), DrainsReply.serializer())
    val watch = PeerRoute("/peer/v1/watch", WatchRequest.serializer(), WatchReply.serializer())
    val fetchConfig = PeerRoute("/peer/v1/watch/configuration", ConfigRequest.serializer(), ConfigReply.serializer())
    val leaving = PeerRoute("/peer/v1/leaving", LeavingNotice.serializer(), Unit.serializer())
    val place = PeerRoute("/peer/v1/place", PlacementRequest.serializer(), PlacementReply.serializer())
    val await = PeerRoute("/peer/v1/place/await", AwaitRequest.serializer(), PlacementReply.serializer())
    val ends = PeerRoute("/peer/v1/place/ends", PlacementReport.serializer(), Unit.serializer())
}

/**
 * The outcome of a command at a control instance. [leader] is set when another instance leads, as far as it is known.
 */
@Serializable
data class CommandReply(
    val status: CommandStatus,
    val result: CommandResult? = null,
    val leader: InstanceId? = null,
    /** Where the command stands in the log of the instance that committed it. */
    val position: LogPosition? = null,
)

/** The last entry of the log that a state results from, and the instance that leads as far as it is known. */
@Serializable
data class LogPosition(
    val index: Long,
    val term: Long,
    val leader: InstanceId? = null,
)

@Serializable
enum class CommandStatus { COMMITTED, NOT_LEADER, REFUSED, UNKNOWN }

/** The configuration at a control instance. [isConfirmed] is true when a majority confirms that it is the newest. */
@Serializable
data class ReadReply(
    val isConfirmed: Boolean,
    val config: PackedConfig? = null,
    val position: LogPosition? = null,
)

/** The newest revision of the configuration at the leader, 0 if there is none. */
@Serializable
data class RevisionReply(
    /** True when a majority confirms that the revision is the newest. */
    val isConfirmed: Boolean,
    val revision: Long = 0,
)

/** The drained failure domains, or null if no majority confirms that they are the newest. */
@Serializable
data class DrainsReply(
    val drains: DrainedDomains? = null,
)

/** A long poll for everything that is newer than what the sender has. The answer may take up to a second. */
@Serializable
data class WatchRequest(
    val from: InstanceId,
    val isEntry: Boolean,
    /** The newest revision that the sender holds, or that this control instance has already named to it. */
    val revision: Long,
    val drainVersion: Long,
    /** The incarnation of the control instance that [recordsVersion] belongs to. */
    @SerialName("life") val incarnation: Long,
    /** The newest version of the records that the sender holds; [NO_RECORDS] when it gets them from other instances. */
    val recordsVersion: Long,
    /** The leader that the control instance named last while it had contact with it. */
    val leader: InstanceId? = null,
    /** Upstreams that are leaving or have left, for a control instance that has restarted and may not know of them. */
    val departed: List<UpstreamRecord> = emptyList(),
    /** The newest version of the limits of upstreams that the sender holds; [NO_RECORDS] as for [recordsVersion]. */
    val limitsVersion: Long = NO_RECORDS,
    /** The newest version of the quarantines that the sender holds from this control instance. */
    val quarantineVersion: Long = NO_RECORDS,
    /** All quarantines that the sender holds, for a control instance that has restarted. */
    val quarantines: List<QuarantineNotice> = emptyList(),
) {
    companion object {
        const val NO_RECORDS = Long.MAX_VALUE
    }
}

/** The answer to a [WatchRequest]: what is newer than what the sender has, and the state of the store as seen here. */
@Serializable
data class WatchReply(
    /** Identifies one run of the control instance's process; versions of records count within it. */
    @SerialName("life") val incarnation: Long,
    val recordsVersion: Long,
    val records: List<UpstreamRecord> = emptyList(),
    /** The newest revision that the control instance holds. Its content comes from the leader or in a [ConfigReply]. */
    val revision: Long = 0,
    /**
     * The content of [revision], sent by the leader to an entry instance to which it has not named the revision yet.
     */
    val config: PackedConfig? = null,
    val drains: DrainedDomains? = null,
    val leader: InstanceId? = null,
    val members: List<InstanceId> = emptyList(),
    /** True while the instance is in contact with the leader and has applied what was committed before its term. */
    val isCurrent: Boolean,
    /** The number of entry instances that follow this control instance. */
    val entries: Int,
    val limitsVersion: Long = 0,
    /** Limits of upstreams that were named, changed or ended. */
    val limits: List<LimitNotice> = emptyList(),
    val quarantineVersion: Long = 0,
    /** Quarantines of prompts that were decided, probed or lifted. */
    val quarantines: List<QuarantineNotice> = emptyList(),
    /** Where the store of the control instance stood when it answered. */
    val position: LogPosition? = null,
    /** Engines with long prompts left to prefill; null from an instance that does not place for all. */
    val busy: List<BusyUpstream>? = null,
)

/** Asks for the configuration if it is newer than [revision]. */
@Serializable
data class ConfigRequest(
    val revision: Long,
)

@Serializable
data class ConfigReply(
    val config: PackedConfig? = null,
)

/** Tells another member that an upstream is leaving or has left. [record] is null when the sender does not know it. */
@Serializable
data class LeavingNotice(
    val upstream: UpstreamId,
    val record: UpstreamRecord?,
)

/** What one answer said about the limit of an upstream. Ages count back from when the notice was sent. */
@Serializable
data class LimitNotice(
    val upstream: UpstreamId,
    /** Null if the answer named no limit. */
    val requestsPerS: Double?,
    val sentAgeMs: Long,
    val answeredAgeMs: Long,
    val request: RequestId,
    /** The instance that got the answer. */
    val instance: InstanceId,
)

/** The failure domains that operators have drained. [version] grows with each change. */
@Serializable
data class DrainedDomains(
    val version: Long,
    val domains: Set<FailureDomain>,
)

internal fun StoreState.drainedDomains() =
    DrainedDomains(drainVersion, drains.filterIsInstance<DrainTarget.Domain>().map { it.failureDomain }.toSet())

/** Waits for the decision on a request that a [PlacementReply] said is waiting. */
@Serializable
data class AwaitRequest(
    val request: RequestId,
)

/** Exactly one is set: the decision, that the request is waiting, or the instance that decides. */
@Serializable
data class PlacementReply(
    val placement: Placement? = null,
    val isWaiting: Boolean = false,
    val coordinator: InstanceId? = null,
)

/** What the instance [from] reports: requests that have ended, that it has placed itself, and that it has withdrawn. */
@Serializable
data class PlacementReport(
    val from: InstanceId,
    val results: List<PlacementResult> = emptyList(),
    val own: List<RunningPlacement> = emptyList(),
    val withdrawn: List<RequestId> = emptyList(),
    /** True when [own] lists everything that the instance has running, as in the first report to a new coordinator. */
    val isWhole: Boolean = false,
    /** What the instance has read in answers about the limits of upstreams. */
    val limits: List<LimitNotice> = emptyList(),
    /** How attempts ended that are evidence for or against a quarantine. */
    val runs: List<RunNotice> = emptyList(),
    /** Quarantines that the instance has decided itself, or all if the report is whole. */
    val quarantines: List<QuarantineNotice> = emptyList(),
)

/** A request that runs on [upstream]. */
@Serializable
data class RunningPlacement(
    val request: PlacementRequest,
    val upstream: UpstreamId,
)
