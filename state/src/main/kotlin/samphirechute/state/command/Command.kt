package samphirechute.state.command

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.core.RequestId
import samphirechute.core.RequestTrait
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.core.UpstreamId
import samphirechute.core.service.ServiceSpec

/**
 * A change of the replicated state, as proposed to the leader and stored in the log. [TimedCommand.atMs] is the log
 * time at which the leader appended the command. The state machine uses no other clock, so every member computes the
 * same result.
 */
@Serializable
sealed class Command {
    /**
     * Begins the entries of a leader. Each further one of the same term shows that the change of the membership before it
     * was committed when the leader appended it.
     */
    @Serializable
    @SerialName("noop")
    data object Noop : Command()

    @Serializable
    @SerialName("publish_config")
    data class PublishConfig(
        val operationId: OperationId,
        val baseRevision: Long,
        val services: List<ServiceSpec>,
    ) : Command()

    /** Replaces the whole configuration with one whose [revision] was assigned outside. The highest revision wins. */
    @Serializable
    @SerialName("adopt_config")
    data class AdoptConfig(
        val revision: Long,
        val content: String,
    ) : Command()

    @Serializable
    @SerialName("claim_request")
    data class ClaimRequest(
        val key: ClaimKey,
        val bodyDigest: String,
        val claimant: Claimant,
        val deadlineMs: Long,
    ) : Command()

    @Serializable
    @SerialName("finish_claim")
    data class FinishClaim(
        val key: ClaimKey,
        val claimant: Claimant,
        val result: ClaimResult,
    ) : Command()

    /** Gives up a claim whose claimant has sent nothing for the request and never will. */
    @Serializable
    @SerialName("release_claim")
    data class ReleaseClaim(
        val key: ClaimKey,
        val claimant: Claimant,
    ) : Command()

    /**
     * Announces the current incarnation of an instance. Claims and documents of earlier incarnations lose their holder.
     */
    @Serializable
    @SerialName("record_incarnation")
    data class RecordIncarnation(
        val claimant: Claimant,
    ) : Command()

    @Serializable
    @SerialName("set_drain")
    data class SetDrain(
        val operationId: OperationId,
        val target: DrainTarget,
        val isDrained: Boolean,
        /**
         * The version of the drains that the order was given for; it changes nothing after any later change. Null for an
         * order that always counts.
         */
        val baseVersion: Long? = null,
    ) : Command()

    @Serializable
    @SerialName("accept_document")
    data class AcceptDocument(
        val id: String,
        val service: ServiceName,
        val requestId: RequestId,
        val bodyDigest: String,
        val holders: List<InstanceId>,
        val deadlineMs: Long,
    ) : Command()

    @Serializable
    @SerialName("assign_document")
    data class AssignDocument(
        val id: String,
        val runner: Claimant,
        val leaseMs: Long,
    ) : Command()

    @Serializable
    @SerialName("finish_document")
    data class FinishDocument(
        val id: String,
        val runner: Claimant,
        val answerDigest: String?,
        val holders: List<InstanceId>,
        val errorCode: String? = null,
    ) : Command()

    @Serializable
    @SerialName("issue_order")
    data class IssueOrder(
        val operationId: OperationId,
        val upstream: UpstreamId,
        val order: UpstreamOrder,
        /** The term of the leader that issues the order. */
        val fencingNumber: Long,
    ) : Command()

    @Serializable
    @SerialName("finish_order")
    data class FinishOrder(
        val operationId: OperationId,
        val isDone: Boolean,
        val detail: String,
    ) : Command()

    /** Records that requests with all of [traits] are in quarantine, or no longer are. The highest round and probe wins. */
    @Serializable
    @SerialName("record_quarantine")
    data class RecordQuarantine(
        @SerialName("parts")
        val traits: Set<RequestTrait>,
        val isActive: Boolean,
        val round: Int,
        val probes: Int,
        val decidedBy: InstanceId,
    ) : Command()

    /** Adds a member, or replaces the disk identity of a member that lost its disk. */
    @Serializable
    @SerialName("add_member")
    data class AddMember(
        val operationId: OperationId,
        val member: StoreMember,
    ) : Command()

    @Serializable
    @SerialName("remove_member")
    data class RemoveMember(
        val operationId: OperationId,
        val instance: InstanceId,
    ) : Command()
}

/** A command with its log time, as stored in the log. */
@Serializable
data class TimedCommand(
    val atMs: Long,
    val command: Command,
)

/** Identifies a claim. Two services may use the same request identifier. */
@Serializable
data class ClaimKey(
    val team: TeamName,
    val service: ServiceName,
    val requestId: RequestId,
)

/**
 * The holder of a claim: one incarnation of an instance, which is higher after each restart. [sequence] distinguishes
 * the claims of one incarnation, so that a release that is committed late cannot free a later claim of the same request
 * by the same instance.
 */
@Serializable
data class Claimant(
    val instance: InstanceId,
    val incarnation: Long,
    val sequence: Long = 0,
)

/** The outcome of a non-repeatable request. [body] is null if the answer was too large to keep or was dropped. */
@Serializable
data class ClaimResult(
    val status: Int,
    val contentType: String,
    val body: String?,
    val isUnknown: Boolean = false,
)

/** What an operator can drain: take out of service and bring back. */
@Serializable
sealed class DrainTarget {
    @Serializable
    @SerialName("instance")
    data class Instance(
        val instance: InstanceId,
    ) : DrainTarget()

    @Serializable
    @SerialName("upstream")
    data class Upstream(
        val upstream: UpstreamId,
    ) : DrainTarget()

    @Serializable
    @SerialName("failure_domain")
    data class Domain(
        val failureDomain: FailureDomain,
    ) : DrainTarget()
}

/** An order to a model engine. */
@Serializable
sealed class UpstreamOrder {
    @Serializable
    @SerialName("load_model")
    data class LoadModel(
        val model: String,
        val version: String,
    ) : UpstreamOrder()

    @Serializable
    @SerialName("load_adapter")
    data class LoadAdapter(
        val adapter: String,
        val version: String,
    ) : UpstreamOrder()

    @Serializable
    @SerialName("change_role")
    data class ChangeRole(
        val role: String,
    ) : UpstreamOrder()
}

/**
 * A member of the store quorum. [diskId] is created at the first start, so a wiped disk makes it a different member.
 */
@Serializable
data class StoreMember(
    val instance: InstanceId,
    val failureDomain: FailureDomain,
    val address: HostPort,
    val diskId: String,
)
