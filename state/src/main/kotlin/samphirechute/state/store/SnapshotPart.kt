package samphirechute.state.store

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.InstanceId
import samphirechute.core.service.ServiceSpec
import samphirechute.state.command.ClaimKey
import samphirechute.state.command.DrainTarget
import samphirechute.state.command.StoreMember

/**
 * A part of a snapshot. A state is written, sent and read in parts, so that neither the disk nor the network needs all
 * of it in one buffer, and the event loop never encodes all of it at once.
 */
@Serializable
sealed class SnapshotPart {
    @Serializable
    @SerialName("head")
    data class Head(
        val index: Long,
        val term: Long,
        val atMs: Long,
        val revision: Long,
        val publishes: List<PublishRecord>,
        val drains: List<DrainTarget>,
        val drainVersion: Long,
        val fencingNumber: Long,
        val members: List<StoreMember>,
        val incarnations: Map<InstanceId, Long>,
        val keptAnswerBytes: Long,
    ) : SnapshotPart()

    @Serializable
    @SerialName("adopted")
    data class Adopted(
        val config: AdoptedConfig,
    ) : SnapshotPart()

    @Serializable
    @SerialName("services")
    data class Services(
        val services: List<ServiceSpec>,
    ) : SnapshotPart()

    @Serializable
    @SerialName("operations")
    data class Operations(
        val records: List<OperationRecord>,
    ) : SnapshotPart()

    @Serializable
    @SerialName("claims")
    data class Claims(
        val records: List<ClaimRecord>,
    ) : SnapshotPart()

    @Serializable
    @SerialName("kept_answers")
    data class KeptAnswers(
        val keys: List<ClaimKey>,
    ) : SnapshotPart()

    @Serializable
    @SerialName("documents")
    data class Documents(
        val records: List<DocumentRecord>,
    ) : SnapshotPart()

    @Serializable
    @SerialName("orders")
    data class Orders(
        val records: List<OrderRecord>,
    ) : SnapshotPart()

    @Serializable
    @SerialName("quarantines")
    data class Quarantines(
        val records: List<QuarantineRecord>,
    ) : SnapshotPart()
}

/** Splits this state into parts, the head first. */
fun StoreState.snapshotParts(): Sequence<SnapshotPart> =
    sequence {
        yield(head())
        adopted?.let { yield(SnapshotPart.Adopted(it)) }
        for (part in services.chunked(PART_RECORDS)) yield(SnapshotPart.Services(part))
        for (part in operations.values.chunked(PART_RECORDS)) yield(SnapshotPart.Operations(part))
        yieldAll(claimParts())
        for (part in keptAnswers.chunked(PART_RECORDS)) yield(SnapshotPart.KeptAnswers(part))
        for (part in documents.values.chunked(PART_RECORDS)) yield(SnapshotPart.Documents(part))
        for (part in orders.values.chunked(PART_RECORDS)) yield(SnapshotPart.Orders(part))
        for (part in quarantines.values.chunked(PART_RECORDS)) yield(SnapshotPart.Quarantines(part))
    }

/** Returns this state with one more part of a snapshot. Start from an empty state. */
fun StoreState.plus(part: SnapshotPart): StoreState =
    when (part) {
        is SnapshotPart.Head -> {
            copy(
                index = part.index,
                term = part.term,
                atMs = part.atMs,
                revision = part.revision,
                publishes = part.publishes.toPersistentList(),
                drains = part.drains.toPersistentSet(),
                drainVersion = part.drainVersion,
                fencingNumber = part.fencingNumber,
                members = part.members.toPersistentList(),
                incarnations = incarnations.putAll(part.incarnations),
                keptAnswerBytes = part.keptAnswerBytes,
            )
        }

        is SnapshotPart.Adopted -> {
            copy(adopted = part.config)
        }

        is SnapshotPart.Services -> {
            copy(services = services.addAll(part.services))
        }

        is SnapshotPart.Operations -> {
            copy(operations = operations.putAll(part.records.associateBy { it.operationId }))
        }

        is SnapshotPart.Claims -> {
            copy(claims = claims.putAll(part.records.associateBy { it.key }))
        }

        is SnapshotPart.KeptAnswers -> {
            copy(keptAnswers = keptAnswers.addAll(part.keys))
        }

        is SnapshotPart.Documents -> {
            copy(documents = documents.putAll(part.records.associateBy { it.id }))
        }

        is SnapshotPart.Orders -> {
            copy(orders = orders.putAll(part.records.associateBy { it.operationId }))
        }

        is SnapshotPart.Quarantines -> {
            copy(quarantines = quarantines.putAll(part.records.associateBy { it.traits }))
        }
    }

private const val PART_RECORDS = 500
private const val PART_ANSWER_BYTES = 256 * 1024

private fun StoreState.head() =
    SnapshotPart.Head(
        index,
        term,
        atMs,
        revision,
        publishes,
        drains.toList(),
        drainVersion,
        fencingNumber,
        members,
        incarnations,
        keptAnswerBytes,
    )

/** Claims are split by the size of their answers as well, which may be 64 KiB each. */
private fun StoreState.claimParts(): Sequence<SnapshotPart> =
    sequence {
        var part = mutableListOf<ClaimRecord>()
        var bytes = 0
        for (record in claims.values) {
            part += record
            bytes += record.result?.body?.length ?: 0
            if (part.size >= PART_RECORDS || bytes >= PART_ANSWER_BYTES) {
                yield(SnapshotPart.Claims(part))
                part = mutableListOf()
                bytes = 0
            }
        }
        if (part.isNotEmpty()) yield(SnapshotPart.Claims(part))
    }
