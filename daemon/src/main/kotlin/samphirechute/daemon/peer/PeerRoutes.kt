package samphirechute.daemon.peer

import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.JsonElement
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.UpstreamId
import samphirechute.daemon.document.FindMessage
import samphirechute.daemon.document.FindReply
import samphirechute.daemon.document.RunMessage
import samphirechute.net.peer.PeerRoute
import samphirechute.routing.Grant
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantRequest
import samphirechute.routing.GrantResult
import samphirechute.routing.RefusalReason
import samphirechute.routing.UpstreamReport
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.lease.LeaseMessage
import samphirechute.state.raft.RaftMessage
import samphirechute.state.sync.SyncMessage

/** The routes of the API between instances, each with the serializers of its request and answer. */
internal object PeerRoutes {
    val grants = PeerRoute("/peer/v1/grants", GrantRequest.serializer(), GrantReply.serializer())
    val releases = PeerRoute("/peer/v1/grants/release", ReleaseMessage.serializer(), Unit.serializer())
    val upstreams = PeerRoute("/peer/v1/upstreams", ReportsMessage.serializer(), Unit.serializer())
    val sync = PeerRoute("/peer/v1/sync", SyncMessage.serializer(), SyncReply.serializer())
    val lease = PeerRoute("/peer/v1/lease", LeaseEnvelope.serializer(), LeaseReply.serializer())
    val commands = PeerRoute("/peer/v1/commands", Command.serializer(), CommandReply.serializer())
    val findUpstream = PeerRoute("/peer/v1/upstreams/find", UpstreamQuery.serializer(), UpstreamReply.serializer())
    val runDocument = PeerRoute("/peer/v1/documents/run", RunMessage.serializer(), Unit.serializer())
    val findDocument = PeerRoute("/peer/v1/documents/find", FindMessage.serializer(), FindReply.serializer())
    val raft = PeerRoute("/peer/v1/raft", RaftMessage.serializer(), Unit.serializer())
}

/** The decision on a grant request: either [grant] or [reason] is set. */
@Serializable
internal data class GrantReply(
    val grant: Grant? = null,
    val reason: RefusalReason? = null,
    val retryAfterMs: Long = 0,
)

@Serializable
internal data class ReleaseMessage(
    val key: GrantKey,
    val result: GrantResult,
)

/** Announcements of upstreams, forwarded to the coordinator as they were received. */
@Serializable
internal data class ReportsMessage(
    val reports: List<JsonElement>,
)

@Serializable
internal data class UpstreamQuery(
    val upstream: UpstreamId,
)

/** The address of an upstream; null if the asked instance does not know it. */
@Serializable
internal data class UpstreamReply(
    val address: HostPort? = null,
    val checksFencing: Boolean = false,
) {
    companion object {
        fun of(report: UpstreamReport?) = UpstreamReply(report?.address, report?.checksFencing ?: false)
    }
}

@Serializable
internal data class SyncReply(
    val message: SyncMessage? = null,
)

@Serializable
internal data class LeaseEnvelope(
    val from: InstanceId,
    val message: LeaseMessage,
)

@Serializable
internal data class LeaseReply(
    val message: LeaseMessage? = null,
)

/** The answer of a store member to a proposed command. */
@Serializable
internal data class CommandReply(
    val outcome: CommandOutcome,
    val result: CommandResult? = null,
    val leader: HostPort? = null,
    val message: String? = null,
)

@Serializable
internal enum class CommandOutcome { COMMITTED, NOT_LEADER, REFUSED, UNKNOWN }
