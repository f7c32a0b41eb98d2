package samphirechute.state.lease

import samphirechute.core.InstanceId

/** What [DomainLease] asks its caller to do. */
sealed class LeaseOutput {
    /** Send [message] to another voter. */
    data class Send(
        val to: InstanceId,
        val message: LeaseMessage,
    ) : LeaseOutput()

    /** Answer the message just received; [message] is the body of the HTTP response. */
    data class Answer(
        val message: LeaseMessage,
    ) : LeaseOutput()

    /** This instance has become coordinator. */
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

/** Why an instance is no longer coordinator. */
enum class LeaseLoss {
    /** A majority of voters did not renew the lease in time. */
    EXPIRED,

    /** This instance is leaving or drained and released the lease. */
    HANDED_BACK,
}
