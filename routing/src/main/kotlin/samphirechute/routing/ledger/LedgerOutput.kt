package samphirechute.routing.ledger

import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.routing.Grant
import samphirechute.routing.GrantKey
import samphirechute.routing.RefusalReason

/** The decisions and actions that [DomainLedger.handle] returns, to be executed by the coordinator. */
sealed class LedgerOutput {
    /** Sends the grant to the instance that requested it. */
    data class Granted(
        val grant: Grant,
    ) : LedgerOutput()

    /** Tells the instance that the request of [key] gets no grant, and when it may ask again. */
    data class Refused(
        val key: GrantKey,
        val reason: RefusalReason,
        val retryAfterMs: Long,
    ) : LedgerOutput()

    /** Asks an upstream to stop the work and free the memory of a request whose grant has no holder any more. */
    data class Reclaim(
        val upstream: UpstreamId,
        val requestId: RequestId,
    ) : LedgerOutput()

    /** Records an event on the timeline that operators read. */
    data class RecordEvent(
        val event: String,
        val fields: Map<String, String>,
    ) : LedgerOutput()
}
