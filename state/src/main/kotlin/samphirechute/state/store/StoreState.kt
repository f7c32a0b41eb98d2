package samphirechute.state.store

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.core.service.ServiceSpec
import samphirechute.state.command.ClaimKey
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.command.DrainTarget
import samphirechute.state.command.StoreMember
import samphirechute.state.command.TimedCommand

/**
 * The replicated state after the log entry [index]. It is immutable, so a reader, a snapshot writer and a transfer to
 * another member can each hold one while the log moves on. The maps keep the order of insertion, which is the order of
 * expiry.
 */
data class StoreState(
    val index: Long = 0,
    val term: Long = 0,
    /** The time of the log; it never decreases. */
    val atMs: Long = 0,
    val revision: Long = 0,
    val services: PersistentList<ServiceSpec> = persistentListOf(),
    /** The newest configuration whose revision was given outside, or null. */
    val adopted: AdoptedConfig? = null,
    val publishes: PersistentList<PublishRecord> = persistentListOf(),
    val operations: PersistentMap<OperationId, OperationRecord> = persistentMapOf(),
    val claims: PersistentMap<ClaimKey, ClaimRecord> = persistentMapOf(),
    /** Finished claims whose answers are kept, oldest first. */
    val keptAnswers: PersistentSet<ClaimKey> = persistentSetOf(),
    val keptAnswerBytes: Long = 0,
    val incarnations: PersistentMap<InstanceId, Long> = persistentMapOf(),
    val drains: PersistentSet<DrainTarget> = persistentSetOf(),
    val drainVersion: Long = 0,
    val documents: PersistentMap<String, DocumentRecord> = persistentMapOf(),
    val orders: PersistentMap<OperationId, OrderRecord> = persistentMapOf(),
    val fencingNumber: Long = 0,
    val members: PersistentList<StoreMember> = persistentListOf(),
    val limits: StoreLimits = StoreLimits(),
) {
    /**
     * The state and the result after [timed], which stands at [index] in the log. A command that is rejected changes
     * nothing but the index and the time.
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
            is Command.Noop -> with(CommandResult.Done)
            is Command.PublishConfig -> once(command.operationId) { publish(command) }
            is Command.AdoptConfig -> adopt(command)
            is Command.ClaimRequest -> claim(command)
            is Command.FinishClaim -> finishClaim(command)
            is Command.ReleaseClaim -> releaseClaim(command)
            is Command.RecordIncarnation -> recordIncarnation(command.claimant)
            is Command.SetDrain -> once(command.operationId) { setDrain(command) }
            is Command.AcceptDocument -> acceptDocument(command)
            is Command.AssignDocument -> assignDocument(command)
            is Command.FinishDocument -> finishDocument(command)
            is Command.IssueOrder -> once(command.operationId) { issueOrder(command) }
            is Command.FinishOrder -> finishOrder(command)
            is Command.AddMember -> once(command.operationId) { with(CommandResult.Done) { withMember(command) } }
            is Command.RemoveMember -> once(command.operationId) { with(CommandResult.Done) { without(command) } }
        }
}

/** What one command made of the state. */
data class Applied(
    val state: StoreState,
    val result: CommandResult,
)

/** The number of records, which the cost of a snapshot grows with. */
val StoreState.recordCount: Int
    get() = claims.size + operations.size + documents.size + orders.size + services.size

internal fun StoreState.with(
    result: CommandResult,
    change: StoreState.() -> StoreState = { this },
) = Applied(change(), result)

internal fun StoreState.rejected(
    code: String,
    message: String,
) = Applied(this, CommandResult.Rejected(code, message))

internal fun StoreState.withMember(command: Command.AddMember) = copy(members = members.with(command.member))

internal fun StoreState.without(command: Command.RemoveMember) = copy(members = members.without(command.instance))

/** Adds [member], or replaces the entry of the same instance. */
internal fun PersistentList<StoreMember>.with(member: StoreMember): PersistentList<StoreMember> =
    without(member.instance).add(member)

internal fun PersistentList<StoreMember>.without(instance: InstanceId): PersistentList<StoreMember> =
    removeAll { it.instance == instance }

private fun StoreState.once(
    operationId: OperationId,
    action: () -> Applied,
): Applied {
    operations[operationId]?.let { return with(it.result) }
    val applied = action()
    if (applied.result is CommandResult.Rejected) return applied
    val record = OperationRecord(operationId, index, atMs, applied.result)
    return applied.copy(state = applied.state.remember(record))
}

private fun StoreState.remember(record: OperationRecord): StoreState {
    val room = if (operations.size < limits.maxOperations) operations else operations.remove(operations.keys.first())
    return copy(operations = room.put(record.operationId, record))
}
