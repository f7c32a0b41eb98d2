package samphirechute.routing.ledger

import samphirechute.core.InstanceId
import samphirechute.core.UpstreamId
import samphirechute.routing.Grant
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantRequest
import samphirechute.routing.GrantResult
import samphirechute.routing.UpstreamReport

/** The events that a [DomainLedger] handles. The coordinator passes them to [DomainLedger.handle]. */
sealed class LedgerInput {
    /** This instance became the coordinator. Grants of earlier epochs last at most one lease time from now. */
    data class EpochBegan(
        val epoch: Long,
    ) : LedgerInput()

    /** This instance is no longer the coordinator. Everything queued is refused, and nothing more is granted. */
    data object EpochEnded : LedgerInput()

    /** A report of an upstream arrived. */
    data class UpstreamReported(
        val report: UpstreamReport,
    ) : LedgerInput()

    /** An instance requests a grant. */
    data class GrantRequested(
        val request: GrantRequest,
    ) : LedgerInput()

    /** The instance no longer wants the grant that it requested. */
    data class RequestWithdrawn(
        val key: GrantKey,
    ) : LedgerInput()

    /** The holder of a grant released it. */
    data class GrantReleased(
        val key: GrantKey,
        val result: GrantResult,
    ) : LedgerInput()

    /** An instance renewed its grants by listing all that it holds, including those of an earlier epoch. */
    data class GrantsRenewed(
        val instance: InstanceId,
        val grants: List<Grant>,
    ) : LedgerInput()

    /** Operators changed the set of drained upstreams, or whether the whole failure domain is drained. */
    data class DrainsChanged(
        val upstreams: Set<UpstreamId>,
        val isDomainDrained: Boolean,
    ) : LedgerInput()

    /** Time passed. Sent at least every 50 ms while anything is queued or leased. */
    data object Ticked : LedgerInput()
}
