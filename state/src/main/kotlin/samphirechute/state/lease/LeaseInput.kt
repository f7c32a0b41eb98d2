package samphirechute.state.lease

import samphirechute.core.InstanceId

/** The inputs of [DomainLease]. */
sealed class LeaseInput {
    /** Time has passed. Sent at least every 100 ms. */
    data object Ticked : LeaseInput()

    /** A message arrived from another voter, as a request or as the answer to one. */
    data class Received(
        val from: InstanceId,
        val message: LeaseMessage,
    ) : LeaseInput()

    /** Whether this instance may be coordinator. A leaving or drained instance may not, and releases the lease. */
    data class EligibilityChanged(
        val isEligible: Boolean,
    ) : LeaseInput()

    /** An epoch of this failure domain was seen elsewhere, for example in the digest of a sync message. */
    data class EpochSeen(
        val epoch: Long,
    ) : LeaseInput()
}
