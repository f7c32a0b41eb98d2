package samphirechute.state.store

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.core.RequestTrait
import samphirechute.core.service.ServiceSpec
import samphirechute.state.command.ClaimKey
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.command.DrainTarget
import samphirechute.state.command.StoreMember
import samphirechute.state.command.TimedCommand

/**
 * The replicated state after the log entry [index]: configuration, claims, drains, documents, orders, members and
 * quarantines. Every
 * member computes it by applying the committed entries in order.
 *
 * It is immutable, so a reader, a snapshot writer and a transfer to another member can each keep one while further
 * entries are applied. The maps preserve the insertion order, which is the order of expiry.
 */
data class StoreState(
    val index: Long = 0,
    val term: Long = 0,
    /** The log time. It never decreases. */
    val atMs: Long = 0,
    val revision: Long = 0,
    val services: PersistentList<ServiceSpec> = persistentListOf(),
    /** The latest configuration whose revision was assigned outside the store, or null. */
    val adopted: AdoptedConfig? = null,
    val publishes: PersistentList<PublishRecord> = persistentListOf(),
    val operations: PersistentMap<OperationId, OperationRecord> = persistentMapOf(),
    val claims: PersistentMap<ClaimKey, ClaimRecord> = persistentMapOf(),
    /** The keys of finished claims whose answers are kept, oldest first. */
    val keptAnswers: PersistentSet<ClaimKey> = persistentSetOf(),
    val keptAnswerBytes: Long = 0,
    val incarnations: PersistentMap<InstanceId, Long> = persistentMapOf(),
    val drains: PersistentSet<DrainTarget> = persistentSetOf(),
    val drainVersion: Long = 0,
    val documents: PersistentMap<String, DocumentRecord> = persistentMapOf(),
    val orders: PersistentMap<OperationId, OrderRecord> = persistentMapOf(),
    val fencingNumber: Long = 0,
    val members: PersistentList<StoreMember> = persistentListOf(),
    /** The newest quarantine of each set of traits of requests, also those that were lifted. */
    val quarantines: PersistentMap<Set<RequestTrait>, QuarantineRecord> = persistentMapOf(),
    val limits: StoreLimits = StoreLimits(),
) {
    /**
     * Applies [timed], the log entry at [index], and returns the new state and the result. A rejected command changes
     * only the index, the term and the time, apart from records that expire.
     */
    fun apply(
        index: Long,
        timed: TimedCommand,
        term: Long = this.term,
    ): Applied {
        check(index == this.index + 1) { "entry $index does not follow entry ${this.index}" }
        val next = copy(index = index, term = term, atMs = maxOf(atMs, timed.atMs)).expire()
        return next.applyCommand(timed.command)
    }

    private fun applyCommand(command: Command): Applied =
        when (command) {
            is Command.Noop -> applied(CommandResult.Done)
            is Command.PublishConfig -> runOnce(command.operationId) { publish(command) }
            is Command.AdoptConfig -> adopt(command)
            is Command.ClaimRequest -> claim(command)
            is Command.FinishClaim -> finishClaim(command)
            is Command.ReleaseClaim -> releaseClaim(command)
            is Command.RecordIncarnation -> recordIncarnation(command.claimant)
            is Command.SetDrain -> runOnce(command.operationId) { setDrain(command) }
            is Command.AcceptDocument -> acceptDocument(command)
            is Command.AssignDocument -> assignDocument(command)
            is Command.FinishDocument -> finishDocument(command)
            is Command.IssueOrder -> runOnce(command.operationId) { issueOrder(command) }
            is Command.FinishOrder -> finishOrder(command)
            is Command.RecordQuarantine -> recordQuarantine(command)
            is Command.AddMember -> runOnce(command.operationId) { applied(CommandResult.Done) { add(command) } }
            is Command.RemoveMember -> runOnce(command.operationId) { applied(CommandResult.Done) { remove(command) } }
        }
}

/** The new state and the result of one command. */
data class Applied(
    val state: StoreState,
    val result: CommandResult,
)

/** The number of records. The cost of a snapshot is proportional to it. */
val StoreState.recordCount: Int
    get() = claims.size + operations.size + documents.size + orders.size + services.size

internal fun StoreState.applied(
    result: CommandResult,
    change: StoreState.() -> StoreState = { this },
) = Applied(change(), result)

internal fun StoreState.rejected(
    code: String,
    message: String,
) = Applied(this, CommandResult.Rejected(code, message))

internal fun StoreState.add(command: Command.AddMember) = copy(members = members.addOrReplace(command.member))

internal fun StoreState.remove(command: Command.RemoveMember) = copy(members = members.without(command.instance))

/** Adds [member], or replaces the entry of the same instance. */
internal fun PersistentList<StoreMember>.addOrReplace(member: StoreMember): PersistentList<StoreMember> =
    without(member.instance).add(member)

internal fun PersistentList<StoreMember>.without(instance: InstanceId): PersistentList<StoreMember> =
    removeAll { it.instance == instance }

/**
 * Runs [action] unless [operationId] has a result already, which is then returned again. Rejections are not recorded.
 */
private fun StoreState.runOnce(
    operationId: OperationId,
    action: () -> Applied,
): Applied {
    operations[operationId]?.let { return applied(it.result) }
    val outcome = action()
    if (outcome.result is CommandResult.Rejected) return outcome
    val record = OperationRecord(operationId, index, atMs, outcome.result)
    return outcome.copy(state = outcome.state.recordOperation(record))
}

private fun StoreState.recordOperation(record: OperationRecord): StoreState {
    val trimmed = if (operations.size < limits.maxOperations) operations else operations.remove(operations.keys.first())
    return copy(operations = trimmed.put(record.operationId, record))
}
