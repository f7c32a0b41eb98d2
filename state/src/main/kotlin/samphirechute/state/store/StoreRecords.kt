package samphirechute.state.store

import kotlinx.serialization.Serializable
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.state.command.ClaimKey
import samphirechute.state.command.ClaimResult
import samphirechute.state.command.Claimant
import samphirechute.state.command.CommandResult
import samphirechute.state.command.UpstreamOrder

/** A configuration whose revision was assigned outside the store. */
@Serializable
data class AdoptedConfig(
    val revision: Long,
    val content: String,
)

/** A claim as stored. It is finished once [result] is set. */
@Serializable
data class ClaimRecord(
    val key: ClaimKey,
    val bodyDigest: String,
    val claimant: Claimant,
    val deadlineMs: Long,
    val acceptedMs: Long,
    val result: ClaimResult? = null,
)

/** The first result of an operator's change, which is returned again for every resend. */
@Serializable
data class OperationRecord(
    val operationId: OperationId,
    val index: Long,
    val atMs: Long,
    val result: CommandResult,
)

/** An accepted document. It is finished once [finishedMs] is set. */
@Serializable
data class DocumentRecord(
    val id: String,
    val service: ServiceName,
    val requestId: RequestId,
    val bodyDigest: String,
    val holders: List<InstanceId>,
    val acceptedMs: Long,
    val deadlineMs: Long,
    val runner: Claimant? = null,
    val leaseUntilMs: Long = 0,
    val finishedMs: Long? = null,
    val answerDigest: String? = null,
    val answerHolders: List<InstanceId> = emptyList(),
    val errorCode: String? = null,
)

/** An order to an upstream. It is finished once [finishedMs] is set. */
@Serializable
data class OrderRecord(
    val operationId: OperationId,
    val upstream: UpstreamId,
    val order: UpstreamOrder,
    val fencingNumber: Long,
    val issuedMs: Long,
    val finishedMs: Long? = null,
    val isDone: Boolean = false,
    val detail: String = "",
)

/** The revision that an operation published. Kept to answer operations that lose a race for the same revision. */
@Serializable
data class PublishRecord(
    val revision: Long,
    val operationId: OperationId,
)
