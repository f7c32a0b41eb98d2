package samphirechute.routing.ledger

import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.routing.Grant
import samphirechute.routing.GrantKey
import samphirechute.routing.RefusalReason

/** What the ledger of a failure domain asks its instance to do. */
sealed class LedgerOutput {
    data class Granted(
        val grant: Grant,
    ) : LedgerOutput()

    data class Refused(
        val key: GrantKey,
        val reason: RefusalReason,
        val retryAfterMs: Long,
    ) : LedgerOutput()

    /** Tells an engine to stop the work and free the memory of a request whose holder is gone. */
    data class Reclaim(
        val upstream: UpstreamId,
        val requestId: RequestId,
    ) : LedgerOutput()

    /** For the time line. */
    data class RecordEvent(
        val event: String,
        val fields: Map<String, String>,
    ) : LedgerOutput()
}
