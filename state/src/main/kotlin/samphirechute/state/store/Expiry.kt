package samphirechute.state.store

import kotlinx.collections.immutable.PersistentMap

/**
 * Removes records whose retention has ended, oldest first; of claims only a bounded number per command. A record stays
 * longer than its retention while an older record is still kept. [StoreState.apply] calls this before each command.
 */
internal fun StoreState.expire(): StoreState {
    var next = this
    repeat(limits.maxExpiredPerCommand) {
        val record =
            next.claims.values
                .firstOrNull()
                ?.takeIf(::isExpired) ?: return@repeat
        next = next.removeClaim(record)
    }
    val keptOperations = next.operations.dropOldest { it.atMs + limits.operationRetentionMs < atMs }
    val keptDocuments = next.documents.dropOldest { endMs(it) + limits.documentRetentionMs < atMs }
    val keptOrders = next.orders.dropOldest { (it.finishedMs ?: it.issuedMs) + limits.orderRetentionMs < atMs }
    val isUnchanged =
        keptOperations === next.operations && keptDocuments === next.documents && keptOrders === next.orders
    return if (isUnchanged) {
        next
    } else {
        next.copy(
            operations = keptOperations,
            documents = keptDocuments,
            orders = keptOrders,
        )
    }
}

/** The grace period is added because a claim with the latest possible deadline may run until then. */
private fun StoreState.isExpired(record: ClaimRecord) =
    record.acceptedMs + limits.claimRetentionMs + limits.claimGraceMs < atMs

private fun endMs(record: DocumentRecord) = record.finishedMs ?: record.deadlineMs

private fun <K, V> PersistentMap<K, V>.dropOldest(isExpired: (V) -> Boolean): PersistentMap<K, V> {
    val oldest = entries.firstOrNull()
    return if (oldest == null || !isExpired(oldest.value)) this else remove(oldest.key).dropOldest(isExpired)
}
