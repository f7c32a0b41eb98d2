package samphirechute.state.store

import kotlinx.collections.immutable.PersistentMap

/**
 * Drops what has passed its retention, oldest first and a bounded number for each command. A record is kept longer
 * than its retention while an older one stands before it.
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

/** The grace is added because a claim of the longest deadline may run until then. */
private fun StoreState.isExpired(record: ClaimRecord) =
    record.acceptedMs + limits.claimRetentionMs + limits.claimGraceMs < atMs

private fun endMs(record: DocumentRecord) = record.finishedMs ?: record.deadlineMs

private fun <K, V> PersistentMap<K, V>.dropOldest(isExpired: (V) -> Boolean): PersistentMap<K, V> {
    val oldest = entries.firstOrNull()
    return if (oldest == null || !isExpired(oldest.value)) this else remove(oldest.key).dropOldest(isExpired)
}
