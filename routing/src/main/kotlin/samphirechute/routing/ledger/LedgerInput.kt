package samphirechute.routing.ledger

import samphirechute.core.InstanceId
import samphirechute.core.UpstreamId
import samphirechute.routing.Grant
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantRequest
import samphirechute.routing.GrantResult
import samphirechute.routing.UpstreamReport

/** What the ledger of a failure domain reacts to. */
sealed class LedgerInput {
    /** This instance became coordinator; no grant of an earlier epoch outlives the longest lease from now. */
    data class EpochBegan(
        val epoch: Long,
    ) : LedgerInput()

    /** This instance is no longer coordinator: everything queued is refused, and nothing more is granted. */
    data object EpochEnded : LedgerInput()

    data class UpstreamReported(
        val report: UpstreamReport,
    ) : LedgerInput()

    data class GrantRequested(
        val request: GrantRequest,
    ) : LedgerInput()

    /** The caller gave up before the grant was given. */
    data class RequestWithdrawn(
        val key: GrantKey,
    ) : LedgerInput()

    data class GrantReleased(
        val key: GrantKey,
        val result: GrantResult,
    ) : LedgerInput()

    /** An instance listed all grants that it holds, those of an earlier epoch included. */
    data class GrantsRenewed(
        val instance: InstanceId,
        val grants: List<Grant>,
    ) : LedgerInput()

    /** The upstreams that operators have taken out; [isDomainDrained] when the whole failure domain is. */
    data class DrainsChanged(
        val upstreams: Set<UpstreamId>,
        val isDomainDrained: Boolean,
    ) : LedgerInput()

    /** Time passed; sent at least each 50 ms while anything is queued or leased. */
    data object Ticked : LedgerInput()
}
