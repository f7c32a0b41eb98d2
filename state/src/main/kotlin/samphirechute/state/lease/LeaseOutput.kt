package samphirechute.state.lease

import samphirechute.core.InstanceId

/** What the lease of a failure domain asks its instance to do. */
sealed class LeaseOutput {
    data class Send(
        val to: InstanceId,
        val message: LeaseMessage,
    ) : LeaseOutput()

    /** The answer to the message just received; it goes into the body of the HTTP response. */
    data class Answer(
        val message: LeaseMessage,
    ) : LeaseOutput()

    /** This instance is coordinator from now on. */
    data class Acquired(
        val epoch: Long,
    ) : LeaseOutput()

    /** This instance is no longer coordinator. */
    data class Lost(
        val epoch: Long,
        val reason: LeaseLoss,
    ) : LeaseOutput()

    /** The known coordinator of the failure domain changed; null when none is known. */
    data class HolderChanged(
        val holder: LeaseHolder?,
    ) : LeaseOutput()
}

enum class LeaseLoss {
    /** A majority of voters did not renew it in time. */
    EXPIRED,

    /** This instance is leaving or drained. */
    HANDED_BACK,
}
