package samphirechute.state.lease

import samphirechute.core.InstanceId

/** What the lease of a failure domain reacts to. */
sealed class LeaseInput {
    /** Time passed; sent at least each 100 ms. */
    data object Ticked : LeaseInput()

    /** A message came from another voter, as a request or as the answer to one. */
    data class Received(
        val from: InstanceId,
        val message: LeaseMessage,
    ) : LeaseInput()

    /** Whether this instance may be coordinator. A leaving or drained instance may not, and hands the lease back. */
    data class EligibilityChanged(
        val isEligible: Boolean,
    ) : LeaseInput()

    /** Another path, such as a digest in a sync message, showed an epoch of this failure domain. */
    data class EpochSeen(
        val epoch: Long,
    ) : LeaseInput()
}
